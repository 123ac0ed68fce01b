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

func newPeers(kind string, count int) []session.Peer {
	made := make([]session.Peer, count)
	for i := range made {
		made[i] = session.Peer{Name: fmt.Sprintf("%s-%d", kind, i), Zone: zones[i%len(zones)], Boot: "1"}
	}
	return made
}

// newFleet returns a fleet of the given entries and number of sidecars.
func newFleet(entries []session.Peer, sidecars int) Fleet {
	return Fleet{Entries: entries, Sidecars: sidecars, SidecarsPerEntry: 24}
}

// never reports false for every entry.
func never(string) bool { return false }

// TestSmallFleetKeepsAllSessions checks that each sidecar has a session with each
// entry if there are fewer than minEntries.
func TestSmallFleetKeepsAllSessions(t *testing.T) {
	entries := newPeers("entry", 3)
	for _, sidecar := range newPeers("side", 11) {
		must.Len(t, 3, PlanSessions(sidecar, newFleet(entries, 11), never, never).Invite)
		for _, entry := range entries {
			must.True(t, InSubset(entry.Name, sidecar, newFleet(entries, 11)))
		}
	}
}

// TestLoadOfEntries checks that in a large fleet each entry has between half and twice
// the mean number of sessions, and that each sidecar has entries of several zones.
func TestLoadOfEntries(t *testing.T) {
	entries, sidecars := newPeers("entry", 13), newPeers("side", 72)
	sessions := make(map[string]int)
	for _, sidecar := range sidecars {
		entryZones := make(map[string]bool)
		for _, entry := range PlanSessions(sidecar, newFleet(entries, len(sidecars)), never, never).Invite {
			sessions[entry.Name]++
			entryZones[entry.Zone] = true
		}
		must.Greater(t, 1, len(entryZones))
	}
	mean := len(sidecars) * minEntries / len(entries)
	for _, entry := range entries {
		must.Between(t, mean/2, sessions[entry.Name], mean*2)
	}
}

// TestSubsetIsStable checks that a joining entry changes the subset only of sidecars
// that include it.
func TestSubsetIsStable(t *testing.T) {
	entries := newPeers("entry", 14)
	for _, sidecar := range newPeers("side", 72) {
		for _, entry := range entries[:13] {
			if InSubset(entry.Name, sidecar, newFleet(entries, 72)) && !InSubset(entries[13].Name, sidecar, newFleet(entries, 72)) {
				must.True(t, InSubset(entry.Name, sidecar, newFleet(entries[:13], 72)))
			}
		}
	}
}

// TestPlan draws fleets in which the sidecar is connected to some entries and backing
// off from others. The sidecar must end with EntriesPerSidecar sessions, or as many as
// it can get, and it must rank the dismissed entries below all that it keeps.
func TestPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := newPeers("entry", rapid.IntRange(0, 20).Draw(t, "entries"))
		sidecar := session.Peer{Name: "side", Zone: rapid.SampledFrom(zones).Draw(t, "zone")}
		fleet := newFleet(entries, rapid.IntRange(0, 100).Draw(t, "sidecars"))
		state := make(map[string]int)
		for _, entry := range entries {
			state[entry.Name] = rapid.IntRange(0, 2).Draw(t, "state")
		}
		connected := func(name string) bool { return state[name] == 1 }
		backingOff := func(name string) bool { return state[name] == 2 }
		plan := PlanSessions(sidecar, fleet, connected, backingOff)
		kept, available := 0, 0
		dismissedBefore := false
		for _, entry := range Rank(sidecar, entries) {
			switch {
			case plan.Dismiss[entry.Name]:
				dismissedBefore = true
				if !connected(entry.Name) {
					t.Fatalf("%s is dismissed without a session", entry.Name)
				}
			case connected(entry.Name):
				kept++
				if dismissedBefore {
					t.Fatalf("%s is kept but ranks below a dismissed entry", entry.Name)
				}
			case !backingOff(entry.Name):
				available++
			}
		}
		if got, want := kept+len(plan.Invite), min(fleet.EntriesPerSidecar(), kept+available); got != want {
			t.Fatalf("%d sessions, want %d", got, want)
		}
		if slices.ContainsFunc(plan.Invite, func(entry session.Peer) bool { return connected(entry.Name) || backingOff(entry.Name) }) {
			t.Fatal("the plan invites an entry that is connected or backed off from")
		}
	})
}

// TestFewSidecarsServeAllEntries checks that each sidecar has a session with each entry
// if there are more entries than sidecars.
func TestFewSidecarsServeAllEntries(t *testing.T) {
	entries := newPeers("entry", 20)
	for _, sidecar := range newPeers("side", 4) {
		must.Len(t, 20, PlanSessions(sidecar, newFleet(entries, 4), never, never).Invite)
	}
}

// TestInSubsetMatchesRank checks InSubset against the prefix of Rank in drawn fleets.
func TestInSubsetMatchesRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := newPeers("entry", rapid.IntRange(0, 30).Draw(t, "entries"))
		sidecar := session.Peer{Name: "side", Zone: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "zone")}
		fleet := newFleet(entries, rapid.IntRange(0, 300).Draw(t, "sidecars"))
		ranked := Rank(sidecar, entries)
		for i, entry := range ranked {
			if got, want := InSubset(entry.Name, sidecar, fleet), i < fleet.EntriesPerSidecar(); got != want {
				t.Fatalf("InSubset(%s) is %t at position %d", entry.Name, got, i)
			}
		}
		if InSubset("unknown", sidecar, fleet) {
			t.Fatal("an unknown entry is in the subset")
		}
	})
}

// BenchmarkInSubset asks for every sidecar of a fleet of 295 processes whether it is one
// of an entry's.
func BenchmarkInSubset(b *testing.B) {
	entries, sidecars := newPeers("entry", 55), newPeers("side", 240)
	fleet := newFleet(entries, len(sidecars))
	for b.Loop() {
		for _, sidecar := range sidecars {
			InSubset(entries[0].Name, sidecar, fleet)
		}
	}
}
