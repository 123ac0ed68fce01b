package command

import (
	"context"
	"fmt"
	"io"

	"github.com/figring/figring/entry"
	"github.com/figring/figring/operatorclient"
)

const statusLong = `Shows the entries, the sidecars, the availability zones and the bundle in force.

Examples:
  figring status
  figring status --output json`

type statusCommand struct {
	streams *IO
	operatorFlags
}

// systemState is what the status command prints.
type systemState struct {
	Bundle  operatorclient.CurrentBundle `json:"bundle"`
	Entries []entry.EntryReport          `json:"entries"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	return ask(&c.operatorFlags, c.streams, "reading the status", readState, func(state systemState) func(io.Writer) { return state.table })
}

func readState(ctx context.Context, asked *operatorclient.Client) (systemState, error) {
	current, err := asked.CurrentBundle(ctx)
	if err != nil {
		return systemState{}, err
	}
	status, err := asked.Status(ctx)
	return systemState{Bundle: current, Entries: status.Entries}, err
}

func (s systemState) table(out io.Writer) {
	row(out, fmt.Sprintf("bundle version %d, in force everywhere: %s, %d callers",
		s.Bundle.Bundle.Version, yesNo(s.Bundle.InForceEverywhere), len(s.Bundle.Bundle.Callers)))
	row(out)
	row(out, "ENTRY", "ZONE", "READY", "DRAINING", "PARTITIONS", "JOBS", "QUEUED", "DISPATCHED", "BUNDLE")
	for _, report := range s.Entries {
		entryRow(out, report)
	}
	row(out)
	row(out, "SIDECAR", "ZONE", "WORKER", "STATE", "OPEN", "SLOTS", "HEARD")
	for _, target := range targetsOf(s.Entries) {
		row(out, target.Sidecar, target.Zone, target.Worker, target.State, yesNo(target.Open), target.Slots,
			fmt.Sprintf("%d ms ago", target.HeardMsAgo))
	}
	row(out)
	zoneTable(out, zonesOf(s))
}

func entryRow(out io.Writer, report entry.EntryReport) {
	if report.Status == nil {
		row(out, report.Name, "no answer: "+report.Error)
		return
	}
	status := report.Status
	row(out, status.Name, status.Zone, yesNo(status.Ready), yesNo(status.Draining), status.Partitions,
		status.Owner.Jobs, status.Owner.Queued, status.Owner.Running, status.BundleVersion)
}
