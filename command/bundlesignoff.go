package command

import (
	"context"

	"github.com/figring/figring/decision/bundle"
	"github.com/figring/figring/operatorclient"
)

const bundleSignOffLong = `Signs off a proposal. The operator who proposed it cannot sign it off.

Examples:
  figring bundle sign-off 0197f0a2-0000-7000-8000-000000000001`

type bundleSignOffCommand struct {
	streams *IO
	operatorFlags
	Args proposalIDArgument `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *bundleSignOffCommand) Execute([]string) error {
	return callAndPrint(&c.operatorFlags, c.streams, "signing off", func(ctx context.Context, client *operatorclient.Client) (bundle.Proposal, error) {
		return client.SignOff(ctx, c.Args.ID)
	}, proposalTable)
}
