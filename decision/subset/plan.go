package subset

import "github.com/figring/figring/session"

// Plan is what a sidecar does about its sessions.
type Plan struct {
	// Invite are the entries to ask for a session, the preferred ones first.
	Invite []session.Peer
	// Dismiss are the connected entries that are one too many.
	Dismiss map[string]bool
}

// PlanSessions returns what a sidecar does that has sessions with the connected ones
// of the fleet's entries. Entries that it has asked in vain lately are resting:
// others are asked in their place.
func PlanSessions(sidecar session.Peer, fleet Fleet, connected, resting func(entry string) bool) Plan {
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
		if connected(entry.Name) || resting(entry.Name) {
			continue
		}
		plan.Invite = append(plan.Invite, entry)
		sessions++
	}
	return plan
}
