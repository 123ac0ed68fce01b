package command

import (
	"context"

	"github.com/figring/figring/instance"
	"github.com/figring/figring/settings"
)

const dispatcherLong = `Runs an entry on instances whose minions run tasks under leases. It accepts jobs from callers, holds each job until it has ended, and dispatches its tasks to executors. On SIGTERM it drains: it reports that it is not ready, tells callers to use other connections, answers the jobs that it holds, and exits with code 0. On SIGHUP it reads its settings again.

Example:
  figring dispatcher --settings examples/settings/dispatcher.jsonc`

type dispatcherCommand struct {
	streams  *IO
	Settings string `long:"settings" env:"FIGRING_CONFIG" value-name:"FILE" required:"true" description:"start-up settings, JSON with comments"`
}

// Execute implements flags.Commander.
func (c *dispatcherCommand) Execute([]string) error {
	cfg, err := settings.LoadDispatcher(c.Settings)
	if err != nil {
		return usageError(err)
	}
	ctx, cancel := signalContext()
	defer cancel()
	return instance.RunDispatcher(ctx, instance.Options{Out: c.streams.Out, Reload: func(context.Context) error {
		_, err := settings.LoadDispatcher(c.Settings)
		return err
	}}, cfg)
}
