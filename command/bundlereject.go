package command

import (
	"context"

	"github.com/figring/figring/decision/bundle"
	"github.com/figring/figring/operatorclient"
)

const bundleRejectLong = `Rejects a proposal. The bundle in force does not change.

Examples:
  figring bundle reject 0197f0a2-0000-7000-8000-000000000001`

type bundleRejectCommand struct {
	streams *IO
	operatorFlags
	Args proposalIDArgument `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *bundleRejectCommand) Execute([]string) error {
	return callAndPrint(&c.operatorFlags, c.streams, "rejecting", func(ctx context.Context, client *operatorclient.Client) (bundle.Proposal, error) {
		return client.Reject(ctx, c.Args.ID)
	}, proposalTable)
}
