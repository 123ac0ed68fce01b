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

const sidecarHelp = `Runs the sidecar beside a minion, the only process that starts tasks on it. SIGTERM makes it drain: what waits is handed back, what runs is finished and answered, and it exits 0.

Example:
  figring sidecar --settings examples/settings/sidecar.jsonc`

// sidecarMemory is the memory in bytes beyond which a sidecar collects garbage
// more often: it shares the worker with the minion.
const sidecarMemory = 48 << 20

type sidecarCommand struct {
	streams  *IO
	Settings string `long:"settings" value-name:"FILE" required:"true" description:"start-up settings, JSON with comments"`
}

// Execute implements flags.Commander.
func (c *sidecarCommand) Execute([]string) error {
	loaded, err := settings.LoadSidecar(c.Settings)
	if err != nil {
		return usageError(err)
	}
	serverTLS, err := tlsconf.Server(loaded.TLS.RPC)
	if err != nil {
		return usageError(err)
	}
	clientTLS, err := tlsconf.Client(loaded.TLS.RPC)
	if err != nil {
		return usageError(err)
	}
	debug.SetMemoryLimit(sidecarMemory)
	root := metrics.NewRoot()
	defer func() { _ = root.Close() }()
	receiver := announce.NewReceiver()
	logger := newLogger(c.streams)
	role, err := sidecar.New(sidecarSettings(&loaded), sidecar.Dependencies{
		Table:         remote.New(loaded.PlatformURL, platformTimeout).Table(),
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
	logger.Info().Str("role", "sidecar").Str("name", loaded.Name).Str("rpc", role.Address()).
		Str("announce", role.AnnounceAddress()).Str("status", role.StatusAddress()).Msg("listening")
	ctx, cancel := untilSignal()
	defer cancel()
	return role.Run(ctx)
}

func sidecarSettings(loaded *settings.SidecarSettings) sidecar.Settings {
	return sidecar.Settings{
		Name:           loaded.Name,
		Zone:           loaded.Zone,
		Rack:           loaded.Rack,
		Worker:         loaded.Worker,
		RPCListen:      loaded.RPCListen,
		RPCAdvertise:   advertised(loaded.RPCAdvertise),
		AnnounceListen: loaded.AnnounceListen,
		StatusListen:   loaded.StatusListen,
		PlatformURL:    loaded.PlatformURL,
		Secret:         loaded.Secret,
		QueueCapacity:  loaded.QueueCapacity,
		RecordLimit:    loaded.RecordLimit,
		ResultBytes:    int(loaded.ResultBytes),
		DrainLimit:     loaded.ShutdownTimeout.Std(),
	}
}
