package command

import (
	"context"
	"net/http"

	"github.com/figring/figring/claims"
	"github.com/figring/figring/common/identity"
	"github.com/figring/figring/common/metrics"
	"github.com/figring/figring/common/tlsconf"
	"github.com/figring/figring/decision/bundle"
	"github.com/figring/figring/entry"
	"github.com/figring/figring/operator"
	"github.com/figring/figring/rollout"
	"github.com/figring/figring/settings"
	"github.com/figring/figring/store/remote"
)

const entryHelp = `Runs an entry: it takes callers' requests and owns a part of the key space. SIGTERM makes it drain: readiness turns false, the partitions go to other entries, what is held is answered, and it exits 0.

Example:
  figring entry --settings examples/settings/entry.jsonc`

type entryCommand struct {
	streams  *IO
	Settings string `long:"settings" value-name:"FILE" required:"true" description:"start-up settings, JSON with comments"`
}

// Execute implements flags.Commander.
func (c *entryCommand) Execute([]string) error {
	loaded, err := settings.LoadEntry(c.Settings)
	if err != nil {
		return usageError(err)
	}
	options, err := entryOptions(&loaded)
	if err != nil {
		return usageError(err)
	}
	defer func() { _ = options.Metrics.Close() }()
	options.Log = newLogger(c.streams)
	role, err := entry.New(options)
	if err != nil {
		return usageError(err)
	}
	ctx, cancel := untilSignal()
	defer cancel()
	return role.Run(ctx)
}

// entryOptions turns settings into the options of an entry.
func entryOptions(loaded *settings.EntrySettings) (entry.Options, error) {
	store := remote.New(loaded.PlatformURL, platformTimeout)
	options := entry.Options{
		Name:            loaded.Name,
		Zone:            loaded.Zone,
		Region:          loaded.Region,
		RPCListen:       loaded.RPCListen,
		RPCAdvertise:    advertised(loaded.RPCAdvertise),
		CallersListen:   loaded.CallersListen,
		OperatorsListen: loaded.OperatorsListen,
		StatusListen:    loaded.StatusListen,
		Secret:          loaded.Secret,
		Table:           store.Table(),
		Objects:         store.Objects(),
		ClaimMode:       claims.Mode(loaded.ClaimMode),
		Routing:         loaded.Routing,
		ReadyDelay:      loaded.ReadyDelay.Std(),
		ShutdownTimeout: loaded.ShutdownTimeout.Std(),
		MaxBodyBytes:    loaded.MaxBodyBytes,
		Metrics:         metrics.NewRoot(),
		Operators:       operatorInterface(loaded.Zones, loaded.Operators),
	}
	return options, entryTLS(loaded, &options)
}

// operatorInterface returns a builder of the operators' interface of an entry.
func operatorInterface(zones []string, operators []settings.Operator) func(*entry.Entry) (http.Handler, error) {
	return func(role *entry.Entry) (http.Handler, error) {
		return operator.New(operator.Options{
			Editor: rollout.NewEditor(role.Table(), rollout.EditorOptions{
				Rules:    bundle.Rules{Zones: zones},
				OnChange: role.AnnounceBundle,
			}),
			Watcher:   role.Bundles(),
			Operators: identity.NewOperators(operators),
			Status:    func(ctx context.Context) any { return role.SystemStatus(ctx) },
		})
	}
}

func entryTLS(loaded *settings.EntrySettings, options *entry.Options) (err error) {
	if options.RPCServerTLS, err = tlsconf.Server(loaded.TLS.RPC); err != nil {
		return err
	}
	if options.RPCClientTLS, err = tlsconf.Client(loaded.TLS.RPC); err != nil {
		return err
	}
	if options.CallersTLS, err = tlsconf.Server(loaded.TLS.Callers); err != nil {
		return err
	}
	options.OperatorsTLS, err = tlsconf.Server(loaded.TLS.Operators)
	return err
}
