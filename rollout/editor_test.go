package rollout

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/common/bubble"
	"github.com/figring/figring/decision/bundle"
	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
)

var testRules = bundle.Rules{Zones: []string{"schwabing", "maxvorstadt", "garching"}}

func newTestEditor(table *fakeTable, announced func(int64)) *Editor {
	return NewEditor(table, EditorOptions{Rules: testRules, OnChange: announced})
}

func signedOff(t *testing.T, e *Editor, base int64, next model.Bundle) string {
	t.Helper()
	proposal, err := e.Propose(t.Context(), "anna", base, next)
	must.NoError(t, err)
	_, err = e.SignOff(t.Context(), "bert", proposal.ID)
	must.NoError(t, err)
	return proposal.ID
}

func TestRacingRollOutsHaveOneWinner(t *testing.T) {
	const operators = 8
	table := newFakeTable()
	editor := newTestEditor(table, nil)
	ids := make([]string, operators)
	for i := range ids {
		ids[i] = signedOff(t, editor, 0, model.Bundle{Limits: model.Limits{QueuedTasks: i + 1}})
	}
	results := make([]error, operators)
	var wait sync.WaitGroup
	for i, id := range ids {
		wait.Go(func() { _, results[i] = newTestEditor(table, nil).RollOut(t.Context(), "anna", id) })
	}
	wait.Wait()
	winners := 0
	for _, err := range results {
		var conflict *bundle.ConflictError
		if err == nil {
			winners++
			continue
		}
		must.ErrorAs[*bundle.ConflictError](t, err, &conflict)
		must.EqOp(t, 1, conflict.Current)
	}
	must.EqOp(t, 1, winners)
	current, err := editor.Current(t.Context())
	must.NoError(t, err)
	must.EqOp(t, 1, current.Version)
}

func TestRacingClosuresAreAllAccepted(t *testing.T) {
	table := newFakeTable()
	var wait sync.WaitGroup
	for _, zone := range testRules.Zones {
		wait.Go(func() {
			_, err := newTestEditor(table, nil).Edit(t.Context(), "anna", AnyVersion, bundle.CloseZone{Zone: zone})
			must.NoError(t, err)
		})
	}
	wait.Wait()
	current, err := newTestEditor(table, nil).Current(t.Context())
	must.NoError(t, err)
	must.SliceContainsAll(t, current.ClosedZones, testRules.Zones)
	must.EqOp(t, int64(len(testRules.Zones)), current.Version)
}

func TestEditOnAnOldBaseConflicts(t *testing.T) {
	editor := newTestEditor(newFakeTable(), nil)
	_, err := editor.Edit(t.Context(), "anna", 0, bundle.CloseZone{Zone: "garching"})
	must.NoError(t, err)
	_, err = editor.Edit(t.Context(), "bert", 0, bundle.OpenZone{Zone: "garching"})
	var conflict *bundle.ConflictError
	must.ErrorAs[*bundle.ConflictError](t, err, &conflict)
	must.EqOp(t, 1, conflict.Current)
	_, err = editor.Edit(t.Context(), "bert", AnyVersion, bundle.SetLimits{})
	must.ErrorIs(t, err, ErrSignOffNeeded)
}

func TestEditThatChangesNothingWritesNothing(t *testing.T) {
	announced := 0
	editor := newTestEditor(newFakeTable(), func(int64) { announced++ })
	accepted, err := editor.Edit(t.Context(), "anna", AnyVersion, bundle.OpenZone{Zone: "garching"})
	must.NoError(t, err)
	must.False(t, accepted.Changed)
	must.EqOp(t, 0, accepted.Version)
	must.EqOp(t, 0, announced)
}

// TestLostReplies injects each fault into the last transaction of each kind of change.
func TestLostReplies(t *testing.T) {
	steps := map[string]func(*Editor, *fakeTable, fault) error{
		"edit": func(e *Editor, table *fakeTable, f fault) error {
			table.commits = []fault{f}
			_, err := e.Edit(t.Context(), "anna", AnyVersion, bundle.CloseZone{Zone: "garching"})
			return err
		},
		"propose": func(e *Editor, table *fakeTable, f fault) error {
			table.commits = []fault{f}
			_, err := e.Propose(t.Context(), "anna", 0, model.Bundle{})
			return err
		},
		"sign off": func(e *Editor, table *fakeTable, f fault) error {
			table.commits = []fault{faultNone, f}
			proposal, err := e.Propose(t.Context(), "anna", 0, model.Bundle{})
			must.NoError(t, err)
			_, err = e.SignOff(t.Context(), "bert", proposal.ID)
			return err
		},
		"reject": func(e *Editor, table *fakeTable, f fault) error {
			table.commits = []fault{faultNone, f}
			proposal, err := e.Propose(t.Context(), "anna", 0, model.Bundle{})
			must.NoError(t, err)
			_, err = e.Reject(t.Context(), "bert", proposal.ID)
			return err
		},
		"roll out": func(e *Editor, table *fakeTable, f fault) error {
			table.commits = []fault{faultNone, faultNone, f}
			_, err := e.RollOut(t.Context(), "anna", signedOff(t, e, 0, model.Bundle{}))
			return err
		},
	}
	for name, step := range steps {
		for _, one := range []fault{faultLostReply, faultLostRequest, faultLate} {
			t.Run(fmt.Sprintf("%s/%d", name, one), func(t *testing.T) {
				table := newFakeTable()
				must.NoError(t, step(newTestEditor(table, nil), table, one))
				history, err := newTestEditor(table, nil).History(t.Context(), 0, 0)
				must.NoError(t, err)
				must.LessEq(t, 1, len(history))
			})
		}
		t.Run(name+"/unavailable", func(t *testing.T) {
			table := newFakeTable()
			err := step(newTestEditor(table, nil), table, faultUnavailable)
			must.ErrorIs(t, err, ErrUnavailable)
			must.False(t, errors.Is(err, ErrOutcomeUnknown))
		})
	}
}

func TestUnknownOutcomeIsNeverCalledFailed(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		table := newFakeTable()
		editor := newTestEditor(table, nil)
		table.commits = []fault{faultLostReply}
		for range 100 {
			table.commits = append(table.commits, faultUnavailable)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		cut := &outageAfterCommit{fakeTable: table}
		editor.store.table = cut
		_, err := editor.Edit(ctx, "anna", AnyVersion, bundle.CloseZone{Zone: "garching"})
		var unknown *UnknownOutcomeError
		must.ErrorAs[*UnknownOutcomeError](t, err, &unknown)
		must.ErrorIs(t, err, ErrOutcomeUnknown)
		must.False(t, errors.Is(err, ErrUnavailable))

		table.setUnavailable(false)
		history, err := newTestEditor(table, nil).History(t.Context(), 0, 0)
		must.NoError(t, err)
		must.EqOp(t, unknown.Attempt, history[0].Attempt)
	})
}

// outageAfterCommit makes the table unavailable after each commit.
type outageAfterCommit struct {
	*fakeTable
}

func (c *outageAfterCommit) Commit(ctx context.Context, txn store.Txn) ([]int64, error) {
	versions, err := c.fakeTable.Commit(ctx, txn)
	c.setUnavailable(true)
	return versions, err
}

func TestLosingARaceAfterALostRequestIsAConflict(t *testing.T) {
	table := newFakeTable()
	editor := newTestEditor(table, nil)
	id := signedOff(t, editor, 0, model.Bundle{})
	table.commits = []fault{faultLostRequest, faultLostRequest}
	rival := newTestEditor(table, nil)
	editor.options.NewID = func() string { return "mine" }
	other := signedOffWithoutFaults(t, table, rival)
	_, err := rival.RollOut(t.Context(), "anna", other)
	must.NoError(t, err)
	_, err = editor.RollOut(t.Context(), "anna", id)
	var conflict *bundle.ConflictError
	must.ErrorAs[*bundle.ConflictError](t, err, &conflict)
	must.EqOp(t, 1, conflict.Current)
}

// signedOffWithoutFaults creates a signed-off proposal without consuming scripted faults.
func signedOffWithoutFaults(t *testing.T, table *fakeTable, e *Editor) string {
	t.Helper()
	script := table.commits
	table.commits = nil
	defer func() { table.commits = script }()
	return signedOff(t, e, 0, model.Bundle{})
}

func TestAnnounceComesOncePerAcceptedVersion(t *testing.T) {
	var announced []int64
	table := newFakeTable()
	editor := newTestEditor(table, func(version int64) { announced = append(announced, version) })
	table.commits = []fault{faultLostReply}
	_, err := editor.Edit(t.Context(), "anna", AnyVersion, bundle.CloseZone{Zone: "garching"})
	must.NoError(t, err)
	_, err = editor.RollOut(t.Context(), "bert", signedOff(t, editor, 1, model.Bundle{}))
	must.NoError(t, err)
	must.Eq(t, []int64{1, 2}, announced)

	history, err := editor.History(t.Context(), 0, 0)
	must.NoError(t, err)
	must.EqOp(t, "CloseZone{Zone:garching}", history[0].Change)
	must.EqOp(t, "RollOut", history[1].Change)
	list, err := editor.ListProposals(t.Context(), "", 0)
	must.NoError(t, err)
	must.EqOp(t, bundle.RolledOut, list[0].State)
}

// TestStaleWriteNeverReverts guards against a delayed write that replaces newer
// versions. The write is conditional on an old version of the row, and is sent with and
// without the audit row that it would write again.
func TestStaleWriteNeverReverts(t *testing.T) {
	for _, pruned := range []bool{false, true} {
		table := newFakeTable()
		editor := newTestEditor(table, nil)
		stale := editor.newEntry("bert", "stale", model.Bundle{Version: 1})
		for _, zone := range []string{"garching", "schwabing"} {
			_, err := editor.Edit(t.Context(), "anna", AnyVersion, bundle.CloseZone{Zone: zone})
			must.NoError(t, err)
		}
		if pruned {
			table.remove(historyKey(1))
		}
		_, err := editor.putInForce(t.Context(), 0, stale)
		must.ErrorIs(t, err, errConditionFailed)
	}
}

// TestLostRowOfTheBundleInForceIsNotTakenForAFreshStart guards against an edit that
// restarts at version 1 after the row of the bundle in force was deleted.
func TestLostRowOfTheBundleInForceIsNotTakenForAFreshStart(t *testing.T) {
	table := newFakeTable()
	editor := newTestEditor(table, nil)
	_, err := editor.Edit(t.Context(), "anna", AnyVersion, bundle.CloseZone{Zone: "garching"})
	must.NoError(t, err)
	table.remove(CurrentKey)
	_, err = editor.Edit(t.Context(), "anna", AnyVersion, bundle.CloseZone{Zone: "schwabing"})
	must.ErrorIs(t, err, ErrTooManyConflicts)
}

func TestLostReplyIsSettledByReading(t *testing.T) {
	table := newFakeTable()
	table.commits = []fault{faultLostReply}
	_, err := newTestEditor(table, nil).Edit(t.Context(), "anna", AnyVersion, bundle.CloseZone{Zone: "garching"})
	must.NoError(t, err)
	must.EqOp(t, 1, table.commitCount)
}

func TestRacingSignOffAndRejectionHaveOneWinner(t *testing.T) {
	table := newFakeTable()
	editor := newTestEditor(table, nil)
	proposal, err := editor.Propose(t.Context(), "anna", 0, model.Bundle{})
	must.NoError(t, err)
	editor.store.table = &beforeCommitTable{fakeTable: table, before: func() {
		_, err := newTestEditor(table, nil).Reject(t.Context(), "cleo", proposal.ID)
		must.NoError(t, err)
	}}
	_, err = editor.SignOff(t.Context(), "bert", proposal.ID)
	must.ErrorIs(t, err, bundle.ErrWrongState)
	stored, err := editor.Proposal(t.Context(), proposal.ID)
	must.NoError(t, err)
	must.EqOp(t, bundle.Rejected, stored.State)
	must.EqOp(t, "", stored.SignedOffBy)
}

func TestRollOutLosesAgainstARejectionJustBefore(t *testing.T) {
	table := newFakeTable()
	editor := newTestEditor(table, nil)
	id := signedOff(t, editor, 0, model.Bundle{})
	editor.store.table = &beforeCommitTable{fakeTable: table, before: func() {
		_, err := newTestEditor(table, nil).Reject(t.Context(), "cleo", id)
		must.NoError(t, err)
	}}
	_, err := editor.RollOut(t.Context(), "anna", id)
	must.ErrorIs(t, err, bundle.ErrWrongState)
	current, err := editor.Current(t.Context())
	must.NoError(t, err)
	must.EqOp(t, 0, current.Version)
}

func TestPuttingBackLosesAgainstAClosureJustBefore(t *testing.T) {
	table := newFakeTable()
	editor := newTestEditor(table, nil)
	_, err := editor.Edit(t.Context(), "anna", AnyVersion, bundle.DrainTarget{Target: "s1"})
	must.NoError(t, err)
	editor.store.table = &beforeCommitTable{fakeTable: table, before: func() {
		_, err := newTestEditor(table, nil).Edit(t.Context(), "cleo", AnyVersion, bundle.CloseZone{Zone: "garching"})
		must.NoError(t, err)
	}}
	_, err = editor.Edit(t.Context(), "bert", AnyVersion, bundle.UndrainTarget{Target: "s1"})
	var conflict *bundle.ConflictError
	must.ErrorAs[*bundle.ConflictError](t, err, &conflict)
	must.EqOp(t, 2, conflict.Current)
}
