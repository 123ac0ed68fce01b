package command

import (
	"context"

	"github.com/figring/figring/operatorclient"
	"github.com/figring/figring/rollout"
)

// editOf makes an edit for the name of a zone, a sidecar or an entry.
type editOf func(c *operatorclient.Client, ctx context.Context, name string, base *int64) (rollout.ChangeResult, error)

// editCommand puts an emergency edit in force at once.
type editCommand struct {
	streams *IO
	changeFlags
	Base *int64 `long:"base" value-name:"VERSION" description:"refuse the change unless this version is in force"`
	Args struct {
		Name string `positional-arg-name:"NAME" required:"true"`
	} `positional-args:"true"`
	what string
	edit editOf
}

// Execute implements flags.Commander.
func (c *editCommand) Execute([]string) error {
	return c.change(c.streams, c.what+" "+c.Args.Name, func(ctx context.Context, asked *operatorclient.Client) (rollout.ChangeResult, error) {
		return c.edit(asked, ctx, c.Args.Name, c.Base)
	})
}
