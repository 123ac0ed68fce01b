package e2e

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/api"
)

// TestWholePath submits a job at one entry, and again with the same key at the
// other: the second submission starts nothing and gets the same answer.
func TestWholePath(t *testing.T) {
	c := newCluster(t, layout{entries: 2, minions: 3})
	job := newJob(40, 20)

	first, err := c.client(0).SubmitOnce(t.Context(), job)
	must.NoError(t, err)
	must.Eq(t, api.JobComplete, first.State)
	must.Len(t, 40, first.Results)
	for i, result := range first.Results {
		must.EqOp(t, i, result.Index)
		must.EqOp(t, 200, result.Status)
	}

	second, err := c.client(1).SubmitOnce(t.Context(), job)
	must.NoError(t, err)
	must.Eq(t, first, second)

	starts := c.startsOf(job.Key)
	must.MapLen(t, 40, starts)
	for task, count := range starts {
		must.EqOp(t, 1, count, must.Sprintf("task %d", task))
	}

	for _, process := range append(append(c.entries, c.sidecars...), c.minions...) {
		must.EqOp(t, 0, process.stop(), must.Sprint(process.name))
	}
	must.EqOp(t, 0, c.platform.stop())
}
