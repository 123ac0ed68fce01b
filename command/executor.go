package command

import (
	"context"

	"github.com/figring/figring/instance"
	"github.com/figring/figring/settings"
)

const executorLong = `Runs the sidecar beside a minion that runs tasks under leases, the only process that gives it orders. SIGTERM makes it drain: what waits is handed back, what runs is finished, and it exits 0. SIGHUP makes it read its settings again.

Example:
  figring executor --settings examples/settings/executor.jsonc`

type executorCommand struct {
	streams  *IO
	Settings string `long:"settings" env:"FIGRING_CONFIG" value-name:"FILE" required:"true" description:"start-up settings, JSON with comments"`
}

// Execute implements flags.Commander.
func (c *executorCommand) Execute([]string) error {
	cfg, err := settings.LoadExecutor(c.Settings)
	if err != nil {
		return usageError(err)
	}
	ctx, cancel := signalContext()
	defer cancel()
	return instance.RunExecutor(ctx, instance.Options{Out: c.streams.Out, Reload: func(context.Context) error {
		_, err := settings.LoadExecutor(c.Settings)
		return err
	}}, cfg)
}
