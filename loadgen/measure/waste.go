package measure

import (
	"fmt"
	"maps"
	"slices"

	"github.com/figring/figring/common/metrics"
	"github.com/figring/figring/loadgen/fleet"
)

// wasteGoal is the goal for wasted messages per task start.
const wasteGoal = 0.05

// wasteKinds are the counters of wasted messages at the entries.
var wasteKinds = []string{
	metrics.EntryHandedBack,
	metrics.EntryDuplicates,
	metrics.EntryLateResults,
	metrics.EntryIdleRenewals,
	metrics.EntryEmptyWithdrawals,
	metrics.EntryRevocations,
	metrics.EntryOwnerLost,
}

// waste returns the wasted messages per task start, in total and by kind.
func (p *played) waste() []Row {
	entries := p.after.Entries.Since(p.before.Entries)
	sidecars := p.after.Sidecars.Since(p.before.Sidecars)
	starts := sidecars.Sum(fleet.MetricName(metrics.SidecarStarts))
	var total float64
	var rows []Row
	for _, kind := range wasteKinds {
		count := entries.Sum(fleet.MetricName(kind))
		total += count
		rows = append(rows, info(fmt.Sprintf("%s per start (%.0f of %.0f)", kind, count, starts), count/starts, ""))
	}
	reasons := entries.By(fleet.MetricName(metrics.EntryHandedBack), metrics.TagReason)
	for _, reason := range slices.Sorted(maps.Keys(reasons)) {
		rows = append(rows, info("handed back as "+reason, reasons[reason], ""))
	}
	failures := sidecars.Sum(fleet.MetricName(metrics.SidecarRenewalFailures))
	rows = append(rows, info("sidecar_renewal_failures per start", failures/starts, ""))
	return append([]Row{atMost("wasted messages per task start", (total+failures)/starts, wasteGoal, "")}, rows...)
}
