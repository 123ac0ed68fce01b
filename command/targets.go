package command

import (
	"maps"
	"slices"

	"github.com/figring/figring/entry"
)

// latestTargets returns one status for each sidecar, sorted by name. It takes the
// status from the entry that heard from the sidecar most recently.
func latestTargets(reports []entry.EntryReport) []entry.TargetStatus {
	latest := make(map[string]entry.TargetStatus)
	for _, report := range reports {
		if report.Status == nil {
			continue
		}
		for _, target := range report.Status.Owner.Targets {
			known, found := latest[target.Sidecar]
			if !found || target.HeardMsAgo < known.HeardMsAgo {
				latest[target.Sidecar] = target
			}
		}
	}
	var targets []entry.TargetStatus
	for _, name := range slices.Sorted(maps.Keys(latest)) {
		targets = append(targets, latest[name])
	}
	return targets
}
