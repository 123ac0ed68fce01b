package joblease

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestRunsEndUnlessAllOthersConfirm guards against a task that runs twice at the same time: its
// owner lets runs go on though an entry that it does not hear from may start them again; and
// against an outage of the table that ends runs which nobody can take over.
func TestRunsEndUnlessAllOthersConfirm(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	renewed := start.Add(RunsAfterRenewal)
	for _, tc := range []struct {
		name      string
		confirmed map[string]float64
		others    []string
		now       float64
		want      time.Time
	}{
		{"nobody else", nil, nil, 30, at(30).Add(ConfirmationTTL)},
		{"no confirmation", nil, []string{"b"}, 30, renewed},
		{"confirmed by all", map[string]float64{"b": 29, "c": 29.5}, []string{"b", "c"}, 30, at(29).Add(ConfirmationTTL)},
		{"confirmed by one", map[string]float64{"b": 29}, []string{"b", "c"}, 30, renewed},
		{"confirmed by one long ago", map[string]float64{"b": 29, "c": 12}, []string{"b", "c"}, 30, at(12).Add(ConfirmationTTL)},
		{"confirmed before the lease ended", map[string]float64{"b": 1, "c": 1}, []string{"b", "c"}, 2, renewed},
		{"an entry that has appeared", map[string]float64{"b": 29, "c": 29}, []string{"b", "c", "new"}, 30, renewed},
		{"an entry that is gone", map[string]float64{"b": 29, "c": 12}, []string{"b"}, 30, at(29).Add(ConfirmationTTL)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var guard RunGuard
			guard.Renewed(start)
			guard.Renewed(start.Add(-time.Second))
			for entry, asked := range tc.confirmed {
				guard.Confirmed(entry, at(asked))
				guard.Confirmed(entry, at(asked-1))
			}
			must.EqOp(t, tc.want, guard.Until(at(tc.now), tc.others))
		})
	}
	must.True(t, (&RunGuard{}).Until(start, nil).IsZero())
}

// TestGoneEntries guards against an outage of the table that ends all runs because an entry
// which is gone for good does not answer; and against an entry that counts as gone while it
// may be alive.
func TestGoneEntries(t *testing.T) {
	now := time.Unix(1000, 0)
	monitor := NewMonitor()
	rows := []OwnerRow{{Name: "alive", Boot: "1.0"}, {Name: "dead", Boot: "1.0"}, {Name: "left", Boot: "2.0", Released: true}}
	for passed := time.Duration(0); passed <= goneAfter; passed += time.Second {
		must.MapEmpty(t, monitor.Gone())
		rows[0].Count++
		monitor.Observe(now.Add(passed), rows)
	}
	monitor.Observe(now.Add(goneAfter+time.Second), rows)
	must.Eq(t, map[string]string{"dead": "1.0", "left": "2.0"}, monitor.Gone())
}
