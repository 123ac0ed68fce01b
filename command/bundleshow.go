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
		return ask(&c.operatorFlags, c.streams, "reading the bundle", func(ctx context.Context, asked *operatorclient.Client) (operatorclient.CurrentBundle, error) {
			return asked.CurrentBundle(ctx)
		}, currentTable)
	}
	return ask(&c.operatorFlags, c.streams, "reading the proposal", func(ctx context.Context, asked *operatorclient.Client) (bundle.Proposal, error) {
		return asked.Proposal(ctx, c.Args.ID)
	}, wholeProposalTable)
}

func currentTable(current operatorclient.CurrentBundle) func(io.Writer) {
	return func(out io.Writer) {
		row(out, fmt.Sprintf("version %d, fresh for %d ms, in force everywhere: %s",
			current.Bundle.Version, current.FreshForMs, yesNo(current.InForceEverywhere)))
		bundleRows(out, current.Bundle)
	}
}

func wholeProposalTable(one bundle.Proposal) func(io.Writer) {
	return func(out io.Writer) {
		proposalRows(out, []bundle.Proposal{one})
		row(out)
		bundleRows(out, one.Bundle)
	}
}

func bundleRows(out io.Writer, b model.Bundle) {
	row(out, "closed zones:", listText(b.ClosedZones))
	row(out, "drained targets:", listText(b.DrainedTargets))
	row(out, "drained entries:", listText(b.DrainedEntries))
	row(out, "limits:", fmt.Sprintf("queued tasks %d, timeout %s, ejected share %d %%",
		b.Limits.QueuedTasks, b.Limits.MaxTimeout, b.Limits.EjectionShare))
	row(out)
	row(out, "CALLER", "WEIGHT", "TASKS/S", "BURST", "CONCURRENCY", "TOKEN")
	for _, caller := range b.Callers {
		row(out, caller.Name, caller.Weight, caller.TasksPerSecond, caller.Burst, caller.Concurrency, yesNo(caller.TokenHash != ""))
	}
}

func listText(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}
