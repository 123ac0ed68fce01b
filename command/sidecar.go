package command

import (
	"runtime/debug"

	"github.com/figring/figring/common/metrics"
	"github.com/figring/figring/common/tlsconf"
	"github.com/figring/figring/settings"
	"github.com/figring/figring/sidecar"
	"github.com/figring/figring/store/announce"
	"github.com/figring/figring/store/remote"
)

const sidecarLong = `Runs the sidecar beside a minion. It is the only process that starts tasks on that minion. On SIGTERM it drains: it hands back the waiting tasks, lets the running ones finish and answers them, and exits with code 0.

Example:
  figring sidecar --settings examples/settings/sidecar.jsonc`

// sidecarMemoryLimit is the soft memory limit of the Go runtime in bytes. Near it
// the sidecar collects garbage more often, because it shares the worker with the
// minion.
const sidecarMemoryLimit = 48 << 20

type sidecarCommand struct {
	streams  *IO
	Settings string `long:"settings" value-name:"FILE" required:"true" description:"start-up settings, JSON with comments"`
}

// Execute implements flags.Commander.
func (c *sidecarCommand) Execute([]string) error {
	cfg, err := settings.LoadSidecar(c.Settings)
	if err != nil {
		return usageError(err)
	}
	serverTLS, err := tlsconf.Server(cfg.TLS.RPC)
	if err != nil {
		return usageError(err)
	}
	clientTLS, err := tlsconf.Client(cfg.TLS.RPC)
	if err != nil {
		return usageError(err)
	}
	debug.SetMemoryLimit(sidecarMemoryLimit)
	root := metrics.NewRoot()
	defer func() { _ = root.Close() }()
	receiver := announce.NewReceiver()
	logger := newLogger(c.streams)
	role, err := sidecar.New(sidecarSettings(&cfg), sidecar.Dependencies{
		Table:         remote.New(cfg.PlatformURL, platformTimeout).Table(),
		Announcements: receiver,
		Announce:      receiver,
		Metrics:       root.Handler,
		Scope:         root.Scope,
		Logger:        logger,
		RPCServerTLS:  serverTLS,
		RPCClientTLS:  clientTLS,
	})
	if err != nil {
		return usageError(err)
	}
	logger.Info().Str("role", "sidecar").Str("name", cfg.Name).Str("rpc", role.Address()).
		Str("announce", role.AnnounceAddress()).Str("status", role.StatusAddress()).Msg("listening")
	ctx, cancel := signalContext()
	defer cancel()
	return role.Run(ctx)
}

// sidecarSettings converts start-up settings to the settings of a sidecar.
func sidecarSettings(cfg *settings.SidecarSettings) sidecar.Settings {
	return sidecar.Settings{
		Name:           cfg.Name,
		Zone:           cfg.Zone,
		Rack:           cfg.Rack,
		Worker:         cfg.Worker,
		RPCListen:      cfg.RPCListen,
		RPCAdvertise:   advertiseAddress(cfg.RPCAdvertise),
		AnnounceListen: cfg.AnnounceListen,
		StatusListen:   cfg.StatusListen,
		PlatformURL:    cfg.PlatformURL,
		Secret:         cfg.Secret,
		QueueCapacity:  cfg.QueueCapacity,
		RecordLimit:    cfg.RecordLimit,
		ResultBytes:    int(cfg.ResultBytes),
		DrainLimit:     cfg.ShutdownTimeout.Std(),
	}
}
