package command

import (
	"context"

	"github.com/figring/figring/common/identity"
	"github.com/figring/figring/decision/bundle"
	"github.com/figring/figring/model"
	"github.com/figring/figring/operatorclient"
)

const callerSetLong = `Proposes the quota, weight and token of a new or an existing caller. Flags
that are left out take their defaults, but without --token-file an existing token
is kept. Another operator must sign off the proposal; see "figring bundle".

Examples:
  figring caller set --weight 2 --tasks-per-second 5000 nomination-desk
  figring caller set --token-file token.txt --concurrency 400 subscription-desk`

func callerCommands(streams *IO) subcommand {
	return subcommand{
		name: "caller", short: "Propose a caller's quota and weight",
		long: "Proposes changes to callers.\n\nExamples:\n  figring caller set --weight 2 nomination-desk",
		children: []subcommand{
			{name: "set", short: "Propose a caller's quota, weight and token", long: callerSetLong, data: &callerSetCommand{streams: streams}},
		},
	}
}

type callerSetCommand struct {
	streams *IO
	operatorFlags
	Weight         int     `long:"weight" value-name:"N" default:"1" description:"share under contention, 1 to 1000"`
	TasksPerSecond float64 `long:"tasks-per-second" value-name:"N" default:"0" description:"tasks admitted per second over the whole system; 0 for no limit"`
	Burst          int     `long:"burst" value-name:"N" default:"0" description:"tasks admitted at once; 0 for one second's worth"`
	Concurrency    int     `long:"concurrency" value-name:"N" default:"0" description:"limit of tasks in progress; 0 for no limit"`
	TokenFile      string  `long:"token-file" value-name:"FILE" description:"file with the caller's bearer token; only its hash is sent"`
	Args           struct {
		Name string `positional-arg-name:"NAME" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *callerSetCommand) Execute([]string) error {
	caller := model.Caller{
		Name:           c.Args.Name,
		Weight:         c.Weight,
		TasksPerSecond: c.TasksPerSecond,
		Burst:          c.Burst,
		Concurrency:    c.Concurrency,
	}
	if c.TokenFile != "" {
		token, err := readTokenFile(c.TokenFile)
		if err != nil {
			return err
		}
		caller.TokenHash = identity.Hash(token)
	}
	return callAndPrint(&c.operatorFlags, c.streams, "proposing a caller", func(ctx context.Context, client *operatorclient.Client) (bundle.Proposal, error) {
		return client.SetCaller(ctx, caller)
	}, proposalTable)
}
