package subset

import "github.com/figring/figring/session"

// Plan lists the changes that a sidecar should make to its sessions.
type Plan struct {
	// Invite lists the entries to ask for a session, the highest ranked first.
	Invite []session.Peer
	// Dismiss holds the names of the connected entries in excess of
	// Fleet.EntriesPerSidecar, which are the lowest ranked.
	Dismiss map[string]bool
}

// PlanSessions returns the plan of a sidecar that has sessions with the connected
// entries of the fleet. The sidecar is backing off from entries that it recently asked
// for a session without getting one; the plan asks other entries in their place.
func PlanSessions(sidecar session.Peer, fleet Fleet, connected, backingOff func(entry string) bool) Plan {
	plan := Plan{Dismiss: make(map[string]bool)}
	sessions := 0
	wanted := fleet.EntriesPerSidecar()
	ranked := Rank(sidecar, fleet.Entries)
	for _, entry := range ranked {
		if !connected(entry.Name) {
			continue
		}
		sessions++
		if sessions > wanted {
			plan.Dismiss[entry.Name] = true
		}
	}
	for _, entry := range ranked {
		if sessions >= wanted {
			break
		}
		if connected(entry.Name) || backingOff(entry.Name) {
			continue
		}
		plan.Invite = append(plan.Invite, entry)
		sessions++
	}
	return plan
}
