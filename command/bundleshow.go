package command

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/figring/figring/decision/bundle"
	"github.com/figring/figring/model"
	"github.com/figring/figring/operatorclient"
)

const bundleShowLong = `Shows the bundle in force, or a proposal.

Examples:
  figring bundle show
  figring bundle show --output json
  figring bundle show 0197f0a2-0000-7000-8000-000000000001`

type bundleShowCommand struct {
	streams *IO
	operatorFlags
	Args struct {
		ID string `positional-arg-name:"ID"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *bundleShowCommand) Execute([]string) error {
	if c.Args.ID == "" {
		return callAndPrint(&c.operatorFlags, c.streams, "reading the bundle", func(ctx context.Context, client *operatorclient.Client) (operatorclient.CurrentBundle, error) {
			return client.CurrentBundle(ctx)
		}, currentTable)
	}
	return callAndPrint(&c.operatorFlags, c.streams, "reading the proposal", func(ctx context.Context, client *operatorclient.Client) (bundle.Proposal, error) {
		return client.Proposal(ctx, c.Args.ID)
	}, proposalDetailTable)
}

// currentTable returns a function that writes the bundle in force.
func currentTable(current operatorclient.CurrentBundle) func(io.Writer) {
	return func(out io.Writer) {
		writeRow(out, fmt.Sprintf("version %d, fresh for %d ms, in force everywhere: %s",
			current.Bundle.Version, current.FreshForMs, yesNo(current.InForceEverywhere)))
		writeBundle(out, current.Bundle)
	}
}

// proposalDetailTable returns a function that writes a proposal and its bundle.
func proposalDetailTable(proposal bundle.Proposal) func(io.Writer) {
	return func(out io.Writer) {
		writeProposals(out, []bundle.Proposal{proposal})
		writeRow(out)
		writeBundle(out, proposal.Bundle)
	}
}

// writeBundle writes the zones, drains, limits and callers of a bundle.
func writeBundle(out io.Writer, b model.Bundle) {
	writeRow(out, "closed zones:", joinOrNone(b.ClosedZones))
	writeRow(out, "drained targets:", joinOrNone(b.DrainedTargets))
	writeRow(out, "drained entries:", joinOrNone(b.DrainedEntries))
	writeRow(out, "limits:", fmt.Sprintf("queued tasks %d, timeout %s, ejected share %d %%",
		b.Limits.QueuedTasks, b.Limits.MaxTimeout, b.Limits.EjectionShare))
	writeRow(out)
	writeRow(out, "CALLER", "WEIGHT", "TASKS/S", "BURST", "CONCURRENCY", "TOKEN")
	for _, caller := range b.Callers {
		writeRow(out, caller.Name, caller.Weight, caller.TasksPerSecond, caller.Burst, caller.Concurrency, yesNo(caller.TokenHash != ""))
	}
}

// joinOrNone returns the names separated by commas, or "none" without any.
func joinOrNone(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}
