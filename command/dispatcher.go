package command

import (
	"context"

	"github.com/figring/figring/instance"
	"github.com/figring/figring/settings"
)

const dispatcherLong = `Runs an entry on instances whose minions run tasks under leases. It takes callers' jobs, holds each until it has ended, and places its tasks at the executors. SIGTERM makes it drain: readiness turns false, callers are told to use other connections, what is held is answered, and it exits 0. SIGHUP makes it read its settings again.

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
