package subset

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/figring/figring/session"
)

var zones = []string{"a", "b", "c"}

func peers(kind string, count int) []session.Peer {
	made := make([]session.Peer, count)
	for i := range made {
		made[i] = session.Peer{Name: fmt.Sprintf("%s-%d", kind, i), Zone: zones[i%len(zones)], Boot: "1"}
	}
	return made
}

// fleet is one whose sidecars are as many as given.
func fleet(entries []session.Peer, sidecars int) Fleet {
	return Fleet{Entries: entries, Sidecars: sidecars, SidecarsPerEntry: 24}
}

func never(string) bool { return false }

// TestSmallFleetKeepsAllSessions covers fleets with fewer entries than a sidecar
// wants: each has a session with each.
func TestSmallFleetKeepsAllSessions(t *testing.T) {
	entries := peers("entry", 3)
	for _, sidecar := range peers("side", 11) {
		must.Len(t, 3, PlanSessions(sidecar, fleet(entries, 11), never, never).Invite)
		for _, entry := range entries {
			must.True(t, InSubset(entry.Name, sidecar, fleet(entries, 11)))
		}
	}
}

// TestLoadOfEntries covers a large fleet: no entry has many more sessions than
// the others, and each sidecar has entries of its own and of other zones.
func TestLoadOfEntries(t *testing.T) {
	entries, sidecars := peers("entry", 13), peers("side", 72)
	sessions := make(map[string]int)
	for _, sidecar := range sidecars {
		ofZones := make(map[string]bool)
		for _, entry := range PlanSessions(sidecar, fleet(entries, len(sidecars)), never, never).Invite {
			sessions[entry.Name]++
			ofZones[entry.Zone] = true
		}
		must.Greater(t, 1, len(ofZones))
	}
	mean := len(sidecars) * minEntries / len(entries)
	for _, entry := range entries {
		must.Between(t, mean/2, sessions[entry.Name], mean*2)
	}
}

// TestChoiceIsStable covers an entry that comes: only sidecars that prefer it
// change a session.
func TestChoiceIsStable(t *testing.T) {
	entries := peers("entry", 14)
	for _, sidecar := range peers("side", 72) {
		for _, entry := range entries[:13] {
			if InSubset(entry.Name, sidecar, fleet(entries, 72)) && !InSubset(entries[13].Name, sidecar, fleet(entries, 72)) {
				must.True(t, InSubset(entry.Name, sidecar, fleet(entries[:13], 72)))
			}
		}
	}
}

// TestPlan draws fleets in which some entries are connected and some rest. A
// sidecar ends with as many sessions as it wants or can get, and what it
// dismisses ranks behind all that it keeps.
func TestPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := peers("entry", rapid.IntRange(0, 20).Draw(t, "entries"))
		sidecar := session.Peer{Name: "side", Zone: rapid.SampledFrom(zones).Draw(t, "zone")}
		drawn := fleet(entries, rapid.IntRange(0, 100).Draw(t, "sidecars"))
		state := make(map[string]int)
		for _, entry := range entries {
			state[entry.Name] = rapid.IntRange(0, 2).Draw(t, "state")
		}
		connected := func(name string) bool { return state[name] == 1 }
		resting := func(name string) bool { return state[name] == 2 }
		plan := PlanSessions(sidecar, drawn, connected, resting)
		kept, open := 0, 0
		behind := false
		for _, entry := range Rank(sidecar, entries) {
			switch {
			case plan.Dismiss[entry.Name]:
				behind = true
				if !connected(entry.Name) {
					t.Fatalf("%s is dismissed without a session", entry.Name)
				}
			case connected(entry.Name):
				kept++
				if behind {
					t.Fatalf("%s is kept behind a dismissed one", entry.Name)
				}
			case !resting(entry.Name):
				open++
			}
		}
		if got, want := kept+len(plan.Invite), min(drawn.EntriesPerSidecar(), kept+open); got != want {
			t.Fatalf("%d sessions, want %d", got, want)
		}
		if slices.ContainsFunc(plan.Invite, func(entry session.Peer) bool { return connected(entry.Name) || resting(entry.Name) }) {
			t.Fatal("an entry that is connected or rests is invited")
		}
	})
}

// TestFewSidecarsServeAllEntries covers more entries than sidecars: each entry
// has a sidecar.
func TestFewSidecarsServeAllEntries(t *testing.T) {
	entries := peers("entry", 20)
	for _, sidecar := range peers("side", 4) {
		must.Len(t, 20, PlanSessions(sidecar, fleet(entries, 4), never, never).Invite)
	}
}
