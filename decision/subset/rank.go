package subset

import (
	"slices"

	"github.com/figring/figring/common/rendezvous"
	"github.com/figring/figring/session"
)

// minEntries is the smallest number of entries that a sidecar keeps sessions with, as
// far as there are that many. It leaves enough entries to dispatch tasks to the
// sidecar after the loss of a zone and some more entries.
const minEntries = 6

// Fleet describes the entries and sidecars that a process knows.
type Fleet struct {
	Entries []session.Peer
	// Sidecars is the number of known sidecars.
	Sidecars int
	// SidecarsPerEntry is the minimum number of sidecars that each entry should have
	// sessions with.
	SidecarsPerEntry int
}

// EntriesPerSidecar returns the number of entries that each sidecar should keep
// sessions with. It may exceed the number of known entries.
func (f *Fleet) EntriesPerSidecar() int {
	sessions := len(f.Entries) * f.SidecarsPerEntry
	sidecars := max(f.Sidecars, 1)
	return max(minEntries, (sessions+sidecars-1)/sidecars)
}

// Rank returns the entries in the sidecar's order of preference. Entries of its own
// availability zone and of other zones alternate until either run out.
func Rank(sidecar session.Peer, entries []session.Peer) []session.Peer {
	var own, others []session.Peer
	for _, entry := range entries {
		if entry.Zone == sidecar.Zone {
			own = append(own, entry)
		} else {
			others = append(others, entry)
		}
	}
	sortByHash(sidecar.Name, own)
	sortByHash(sidecar.Name, others)
	ranked := make([]session.Peer, 0, len(own)+len(others))
	for len(own) > 0 && len(others) > 0 {
		ranked = append(ranked, own[0], others[0])
		own, others = own[1:], others[1:]
	}
	ranked = append(ranked, own...)
	return append(ranked, others...)
}

// sortByHash sorts the entries by their rendezvous hash for the sidecar.
func sortByHash(sidecar string, entries []session.Peer) {
	slices.SortFunc(entries, func(a, b session.Peer) int {
		return rendezvous.Compare(sidecar, a.Name, b.Name)
	})
}

// InSubset reports whether the entry is among the Fleet.EntriesPerSidecar entries that
// the sidecar ranks highest.
func InSubset(entry string, sidecar session.Peer, fleet Fleet) bool {
	ranked := Rank(sidecar, fleet.Entries)
	ranked = ranked[:min(len(ranked), fleet.EntriesPerSidecar())]
	return slices.ContainsFunc(ranked, func(peer session.Peer) bool { return peer.Name == entry })
}
