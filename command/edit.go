package command

import (
	"context"

	"github.com/figring/figring/operatorclient"
	"github.com/figring/figring/rollout"
)

// editFunc applies an edit to the zone, sidecar or entry with the given name.
// With base set, the edit is refused unless that version is in force.
type editFunc func(c *operatorclient.Client, ctx context.Context, name string, base *int64) (rollout.ChangeResult, error)

// editCommand makes an emergency edit, which needs no sign-off by a second
// operator.
type editCommand struct {
	streams *IO
	changeFlags
	Base *int64 `long:"base" value-name:"VERSION" description:"refuse the change unless this version is in force"`
	Args struct {
		Name string `positional-arg-name:"NAME" required:"true"`
	} `positional-args:"true"`
	activity string
	edit     editFunc
}

// Execute implements flags.Commander.
func (c *editCommand) Execute([]string) error {
	return c.applyAndWait(c.streams, c.activity+" "+c.Args.Name, func(ctx context.Context, client *operatorclient.Client) (rollout.ChangeResult, error) {
		return c.edit(client, ctx, c.Args.Name, c.Base)
	})
}
