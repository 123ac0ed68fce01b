package rollout

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/figring/figring/common/bubble"
	"github.com/figring/figring/decision/bundle"
)

// editTime bounds one edit. It is short enough that some outcomes stay unknown.
const editTime = 350 * time.Millisecond

var drawnEdits = []bundle.Edit{
	bundle.CloseZone{Zone: "garching"}, bundle.OpenZone{Zone: "garching"},
	bundle.CloseZone{Zone: "schwabing"}, bundle.OpenZone{Zone: "schwabing"},
	bundle.DrainTarget{Target: "s1"}, bundle.UndrainTarget{Target: "s1"},
}

// step is one edit with the faults of its commits.
type step struct {
	edit   bundle.Edit
	faults []fault
}

func drawStep(t *rapid.T) step {
	kinds := rapid.SampledFrom([]fault{faultNone, faultUnavailable, faultLostReply, faultLostRequest, faultLate})
	return step{
		edit:   rapid.SampledFrom(drawnEdits).Draw(t, "edit"),
		faults: rapid.SliceOfN(kinds, 0, 5).Draw(t, "faults"),
	}
}

// runResult is what operators and a watcher received during a run, and the history after it.
type runResult struct {
	accepted []ChangeResult
	// refused holds the attempts of the edits that were reported as not made.
	refused []string
	// watched holds the watcher's version after the read that follows each edit.
	watched []int64
	history []HistoryEntry
	err     error
}

// TestHistoryAgreesWithWhatOperatorsWereTold makes edits on a table with random
// faults and compares every result with the audit rows: an accepted change is in the
// history under its version, a refused one is not, versions have no gaps, and the
// version of the watcher never decreases.
func TestHistoryAgreesWithWhatOperatorsWereTold(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 10).Draw(rt, "steps")
		var result runResult
		bubble.Test(t, func(*testing.T) { result = runSteps(steps) })
		must.NoError(rt, result.err)
		checkResult(rt, result)
	})
}

func checkResult(t *rapid.T, result runResult) {
	versions := make(map[string]int64, len(result.history))
	for i, entry := range result.history {
		must.EqOp(t, int64(i+1), entry.Version)
		versions[entry.Attempt] = entry.Version
	}
	for _, one := range result.accepted {
		must.EqOp(t, one.Version, versions[one.Attempt])
	}
	for _, attempt := range result.refused {
		must.MapNotContainsKey(t, versions, attempt)
	}
	for i := 1; i < len(result.watched); i++ {
		must.GreaterEq(t, result.watched[i-1], result.watched[i])
	}
}

func runSteps(steps []step) (result runResult) {
	table := newFakeTable()
	watcher := NewWatcher(table, WatcherOptions{})
	editor := newTestEditor(table, nil)
	var attempts []string
	editor.options.NewID = func() string {
		attempts = append(attempts, newID())
		return attempts[len(attempts)-1]
	}
	for _, one := range steps {
		table.commits = one.faults
		attempts = nil
		accepted, err := editFor(editor, one.edit)
		switch {
		case err == nil && accepted.Changed:
			result.accepted = append(result.accepted, accepted)
		case err != nil && !errors.Is(err, ErrOutcomeUnknown):
			result.refused = append(result.refused, attempts...)
		}
		version, err := watcher.ReadNow(context.Background())
		result.watched = append(result.watched, version)
		result.err = errors.Join(result.err, err)
	}
	history, err := newTestEditor(table, nil).History(context.Background(), 0, 0)
	result.history = history
	result.err = errors.Join(result.err, err)
	return result
}

func editFor(editor *Editor, edit bundle.Edit) (ChangeResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), editTime)
	defer cancel()
	return editor.Edit(ctx, "anna", AnyVersion, edit)
}
