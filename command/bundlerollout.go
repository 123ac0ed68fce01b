package command

import (
	"context"

	"github.com/figring/figring/operatorclient"
	"github.com/figring/figring/rollout"
)

const bundleRollOutLong = `Puts a proposal that was signed off into force, and waits until nothing in
the system uses an older version.

Examples:
  figring bundle roll-out 0197f0a2-0000-7000-8000-000000000001
  figring bundle roll-out --wait 0s 0197f0a2-0000-7000-8000-000000000001`

type bundleRollOutCommand struct {
	streams *IO
	changeFlags
	Args proposalIDArgument `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *bundleRollOutCommand) Execute([]string) error {
	return c.applyAndWait(c.streams, "rolling out", func(ctx context.Context, client *operatorclient.Client) (rollout.ChangeResult, error) {
		return client.RollOut(ctx, c.Args.ID)
	})
}
