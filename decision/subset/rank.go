package subset

import (
	"slices"

	"github.com/figring/figring/common/rendezvous"
	"github.com/figring/figring/session"
)

// minEntries is the least number of entries that a sidecar keeps sessions with,
// where there are as many. A zone and some entries may be lost, and enough are
// left to give it work.
const minEntries = 6

// Fleet is what a process knows of the system.
type Fleet struct {
	Entries []session.Peer
	// Sidecars is the number of sidecars.
	Sidecars int
	// SidecarsPerEntry is the number of sidecars that each entry should have
	// sessions with, at least.
	SidecarsPerEntry int
}

// EntriesPerSidecar returns the number of entries that each sidecar keeps sessions with.
func (f *Fleet) EntriesPerSidecar() int {
	sessions := len(f.Entries) * f.SidecarsPerEntry
	sidecars := max(f.Sidecars, 1)
	return max(minEntries, (sessions+sidecars-1)/sidecars)
}

// Rank returns the entries in the order in which the sidecar prefers them. Every
// other one is of its own availability zone, while there are any.
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

func sortByHash(sidecar string, entries []session.Peer) {
	slices.SortFunc(entries, func(a, b session.Peer) int {
		return rendezvous.Compare(sidecar, a.Name, b.Name)
	})
}

// InSubset reports whether the entry is among those that the sidecar prefers.
func InSubset(entry string, sidecar session.Peer, fleet Fleet) bool {
	ranked := Rank(sidecar, fleet.Entries)
	ranked = ranked[:min(len(ranked), fleet.EntriesPerSidecar())]
	return slices.ContainsFunc(ranked, func(one session.Peer) bool { return one.Name == entry })
}
