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

// systemState is the output of the status command.
type systemState struct {
	Bundle  operatorclient.CurrentBundle `json:"bundle"`
	Entries []entry.EntryReport          `json:"entries"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	return callAndPrint(&c.operatorFlags, c.streams, "reading the status", fetchSystemState, func(state systemState) func(io.Writer) { return state.table })
}

// fetchSystemState reads the bundle in force and the status of all entries.
func fetchSystemState(ctx context.Context, client *operatorclient.Client) (systemState, error) {
	current, err := client.CurrentBundle(ctx)
	if err != nil {
		return systemState{}, err
	}
	status, err := client.Status(ctx)
	return systemState{Bundle: current, Entries: status.Entries}, err
}

func (s systemState) table(out io.Writer) {
	writeRow(out, fmt.Sprintf("bundle version %d, in force everywhere: %s, %d callers",
		s.Bundle.Bundle.Version, yesNo(s.Bundle.InForceEverywhere), len(s.Bundle.Bundle.Callers)))
	writeRow(out)
	writeRow(out, "ENTRY", "ZONE", "READY", "DRAINING", "PARTITIONS", "JOBS", "QUEUED", "DISPATCHED", "BUNDLE")
	for _, report := range s.Entries {
		writeEntry(out, report)
	}
	writeRow(out)
	writeRow(out, "SIDECAR", "ZONE", "WORKER", "STATE", "OPEN", "SLOTS", "HEARD")
	for _, target := range latestTargets(s.Entries) {
		writeRow(out, target.Sidecar, target.Zone, target.Worker, target.State, yesNo(target.Open), target.Slots,
			fmt.Sprintf("%d ms ago", target.HeardMsAgo))
	}
	writeRow(out)
	writeZones(out, zoneStates(s))
}

// writeEntry writes the table row of one entry, or the error of an entry that did
// not answer.
func writeEntry(out io.Writer, report entry.EntryReport) {
	if report.Status == nil {
		writeRow(out, report.Name, "no answer: "+report.Error)
		return
	}
	status := report.Status
	writeRow(out, status.Name, status.Zone, yesNo(status.Ready), yesNo(status.Draining), status.Partitions,
		status.Owner.Jobs, status.Owner.Queued, status.Owner.Running, status.BundleVersion)
}
