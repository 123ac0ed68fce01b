package command

import (
	"context"

	"github.com/figring/figring/instance"
	"github.com/figring/figring/settings"
)

const executorLong = `Runs the sidecar beside a minion that runs tasks under leases. It is the only process that starts or stops tasks on that minion. On SIGTERM it drains: it hands back the waiting tasks, lets the running ones finish, and exits with code 0. On SIGHUP it reads its settings again.

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
