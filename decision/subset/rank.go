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
	rendezvous.Sort(sidecar, entries, func(entry session.Peer) string { return entry.Name })
}

// InSubset reports whether the entry is among the Fleet.EntriesPerSidecar entries that
// the sidecar ranks highest. It does not sort, because an entry asks it for every
// sidecar of a fleet whenever the fleet changes.
func InSubset(entry string, sidecar session.Peer, fleet Fleet) bool {
	asked := slices.IndexFunc(fleet.Entries, func(peer session.Peer) bool { return peer.Name == entry })
	if asked < 0 {
		return false
	}
	sameZone := fleet.Entries[asked].Zone == sidecar.Zone
	rank := rendezvous.RankOf(sidecar.Name, entry)
	// before counts the entries of the same group, own zone or other zones, that rank
	// higher, and others the entries of the other group.
	before, others := 0, 0
	for _, peer := range fleet.Entries {
		switch {
		case (peer.Zone == sidecar.Zone) != sameZone:
			others++
		case rendezvous.RankOf(sidecar.Name, peer.Name).Compare(rank) < 0:
			before++
		}
	}
	return positionInRank(sameZone, before, others) < fleet.EntriesPerSidecar()
}

// positionInRank returns the index in Rank of an entry that follows before entries of
// its own group, while the other group has others entries. The groups alternate, the own
// zone first.
func positionInRank(sameZone bool, before, others int) int {
	if sameZone {
		return before + min(before, others)
	}
	return before + min(before+1, others)
}
