package entry

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestLongestTaskIsSentFirst submits a job of four tasks to a target that takes two
// at a time. The tasks with the longest declared run times are sent first.
func TestLongestTaskIsSentFirst(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		narrow := target(1)
		narrow.Slots = 1
		w.report(narrow)
		spec := w.job(4)
		for i, declared := range []time.Duration{1, 4, 2, 3} {
			spec.Tasks[i].DeclaredRun = declared * time.Second
		}
		w.submit(spec)
		first := w.runs(2)
		sent := []int{first[0].request.Ref.Index, first[1].request.Ref.Index}
		must.Eq(t, []int{1, 3}, slices.Sorted(slices.Values(sent)))
		first[0].reply(doneReply(first[0], 200))
		must.Eq(t, 2, w.run().request.Ref.Index)
	})
}
