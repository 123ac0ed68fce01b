package command

import (
	"context"

	"github.com/figring/figring/operatorclient"
	"github.com/figring/figring/rollout"
)

const bundleRollOutLong = `Puts a proposal that was signed off in force, and waits until nothing in the
system rests on an older version.

Examples:
  figring bundle roll-out 0197f0a2-0000-7000-8000-000000000001
  figring bundle roll-out --wait 0s 0197f0a2-0000-7000-8000-000000000001`

type bundleRollOutCommand struct {
	streams *IO
	changeFlags
	Args idArgument `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *bundleRollOutCommand) Execute([]string) error {
	return c.change(c.streams, "rolling out", func(ctx context.Context, asked *operatorclient.Client) (rollout.ChangeResult, error) {
		return asked.RollOut(ctx, c.Args.ID)
	})
}
