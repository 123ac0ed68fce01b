package bundle

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/figring/figring/model"
)

var testRules = Rules{Zones: []string{"schwabing", "maxvorstadt", "garching"}}

func TestProposalLifecycle(t *testing.T) {
	current := model.Bundle{Version: 4}
	next := model.Bundle{Limits: model.Limits{QueuedTasks: 9}}
	proposal, err := Propose("p", "anna", 4, current, next, testRules)
	must.NoError(t, err)

	_, _, err = RollOut(proposal, current, "anna", "a")
	must.ErrorIs(t, err, ErrWrongState)
	_, err = SignOff(proposal, "anna", "a")
	must.ErrorIs(t, err, ErrSameOperator)
	_, err = SignOff(proposal, "", "a")
	must.ErrorIs(t, err, ErrMissingOperator)

	signed, err := SignOff(proposal, "bert", "a")
	must.NoError(t, err)
	_, err = SignOff(signed, "cleo", "a")
	must.ErrorIs(t, err, ErrWrongState)

	rolled, inForce, err := RollOut(signed, current, "anna", "b")
	must.NoError(t, err)
	must.EqOp(t, RolledOut, rolled.State)
	must.EqOp(t, 5, inForce.Version)
	must.EqOp(t, 9, inForce.Limits.QueuedTasks)
	_, _, err = RollOut(rolled, inForce, "anna", "c")
	must.ErrorIs(t, err, ErrWrongState)
}

func TestRejectedProposalIsNeverRolledOut(t *testing.T) {
	proposal, err := Propose("p", "anna", 0, model.Bundle{}, model.Bundle{}, testRules)
	must.NoError(t, err)
	rejected, err := Reject(proposal, "bert", "a")
	must.NoError(t, err)
	_, err = SignOff(rejected, "bert", "b")
	must.ErrorIs(t, err, ErrWrongState)
	_, _, err = RollOut(rejected, model.Bundle{}, "bert", "c")
	must.ErrorIs(t, err, ErrWrongState)
}

func TestRollOutConflictsWhenVersionInForceChanged(t *testing.T) {
	proposal, err := Propose("p", "anna", 4, model.Bundle{Version: 4}, model.Bundle{}, testRules)
	must.NoError(t, err)
	signed, err := SignOff(proposal, "bert", "a")
	must.NoError(t, err)
	_, _, err = RollOut(signed, model.Bundle{Version: 5}, "anna", "b")
	var conflict *ConflictError
	must.ErrorAs[*ConflictError](t, err, &conflict)
	must.EqOp(t, 5, conflict.Current)
}

func TestValidate(t *testing.T) {
	hash := "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
	cases := []struct {
		name  string
		field string
		in    model.Bundle
	}{
		{"unknown zone", "closedZones[0]", model.Bundle{ClosedZones: []string{"tt-south-a"}}},
		{"zone twice", "closedZones[1]", model.Bundle{ClosedZones: []string{"garching", "garching"}}},
		{"empty target", "drainedTargets[0]", model.Bundle{DrainedTargets: []string{""}}},
		{"entry twice", "drainedEntries[1]", model.Bundle{DrainedEntries: []string{"e", "e"}}},
		{"nameless caller", "callers[0].name", model.Bundle{Callers: []model.Caller{{}}}},
		{"caller twice", "callers[1].name", model.Bundle{Callers: []model.Caller{{Name: "a"}, {Name: "a"}}}},
		{"token twice", "callers[1].tokenHash", model.Bundle{Callers: []model.Caller{{Name: "a", TokenHash: hash}, {Name: "b", TokenHash: hash}}}},
		{"short token hash", "callers[0].tokenHash", model.Bundle{Callers: []model.Caller{{Name: "a", TokenHash: "12"}}}},
		{"negative weight", "callers[0].weight", model.Bundle{Callers: []model.Caller{{Name: "a", Weight: -1}}}},
		{"large weight", "callers[0].weight", model.Bundle{Callers: []model.Caller{{Name: "a", Weight: 1001}}}},
		{"share over 100", "limits.ejectionShare", model.Bundle{Limits: model.Limits{EjectionShare: 101}}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var invalid *InvalidError
			must.ErrorAs[*InvalidError](t, testRules.Validate(tc.in), &invalid)
			must.EqOp(t, tc.field, invalid.Field)
		})
	}
}

func TestOnlyZoneTargetAndEntryEditsAreEmergencies(t *testing.T) {
	for _, edit := range []Edit{CloseZone{}, OpenZone{}, DrainTarget{}, UndrainTarget{}, DrainEntry{}, UndrainEntry{}} {
		must.True(t, edit.Emergency(), must.Sprintf("%T", edit))
	}
	for _, edit := range []Edit{SetCaller{}, RemoveCaller{}, SetLimits{}} {
		must.False(t, edit.Emergency(), must.Sprintf("%T", edit))
	}
}

func TestSetCallerWithoutTokenHashKeepsToken(t *testing.T) {
	hash := "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
	current := model.Bundle{Callers: []model.Caller{{Name: "a", TokenHash: hash}}}
	next, changed, err := ApplyEdit(current, SetCaller{Caller: model.Caller{Name: "a", Weight: 3}}, testRules)
	must.NoError(t, err)
	must.True(t, changed)
	must.Eq(t, []model.Caller{{Name: "a", TokenHash: hash, Weight: 3}}, next.Callers)
}

// TestEmergencyEditIgnoresExistingInvalidValue closes a zone in a bundle that holds
// an unknown zone. Validating the whole bundle would reject the edit and keep the
// zone in service.
func TestEmergencyEditIgnoresExistingInvalidValue(t *testing.T) {
	current := model.Bundle{ClosedZones: []string{"removed from the settings"}}
	next, changed, err := ApplyEdit(current, CloseZone{Zone: "garching"}, testRules)
	must.NoError(t, err)
	must.True(t, changed)
	must.False(t, next.ZoneOpen("garching"))
}

func drawEdit(t *rapid.T) Edit {
	zone := rapid.SampledFrom([]string{"schwabing", "garching", "unknown"}).Draw(t, "zone")
	name := rapid.SampledFrom([]string{"", "one", "two"}).Draw(t, "name")
	weight := rapid.IntRange(-1, 3).Draw(t, "weight")
	return rapid.SampledFrom([]Edit{
		CloseZone{zone}, OpenZone{zone}, DrainTarget{name}, UndrainTarget{name}, DrainEntry{name}, UndrainEntry{name},
		SetCaller{model.Caller{Name: name, Weight: weight}}, RemoveCaller{name}, SetLimits{model.Limits{QueuedTasks: weight}},
	}).Draw(t, "edit")
}

// TestEditsIncrementVersionAndKeepInputUnchanged applies random edits. An edit that
// changes the bundle must raise the version by one and yield a valid bundle, and
// applying it twice must change nothing more.
func TestEditsIncrementVersionAndKeepInputUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		current := model.Bundle{Version: 7}
		for range rapid.IntRange(1, 12).Draw(t, "edits") {
			edit := drawEdit(t)
			before := normalise(current)
			next, changed, err := ApplyEdit(current, edit, testRules)
			must.Eq(t, before, normalise(current))
			must.True(t, err == nil || !changed)
			want := current.Version
			if changed {
				want++
				must.NoError(t, testRules.Validate(next))
			}
			must.EqOp(t, want, next.Version)
			_, again, _ := ApplyEdit(next, edit, testRules)
			must.False(t, again)
			current = next
		}
	})
}
