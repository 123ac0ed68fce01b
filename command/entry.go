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

const entryLong = `Runs an entry, which accepts requests from callers and owns part of the key space. On SIGTERM it drains: it reports that it is not ready, hands its partitions over to other entries, answers the jobs that it holds, and exits with code 0.

Example:
  figring entry --settings examples/settings/entry.jsonc`

type entryCommand struct {
	streams  *IO
	Settings string `long:"settings" value-name:"FILE" required:"true" description:"start-up settings, JSON with comments"`
}

// Execute implements flags.Commander.
func (c *entryCommand) Execute([]string) error {
	cfg, err := settings.LoadEntry(c.Settings)
	if err != nil {
		return usageError(err)
	}
	options, err := entryOptions(&cfg)
	if err != nil {
		return usageError(err)
	}
	defer func() { _ = options.Metrics.Close() }()
	options.Log = newLogger(c.streams)
	role, err := entry.New(options)
	if err != nil {
		return usageError(err)
	}
	ctx, cancel := signalContext()
	defer cancel()
	return role.Run(ctx)
}

// entryOptions converts settings to the options of an entry.
func entryOptions(cfg *settings.EntrySettings) (entry.Options, error) {
	store := remote.New(cfg.PlatformURL, platformTimeout)
	options := entry.Options{
		Name:            cfg.Name,
		Zone:            cfg.Zone,
		Region:          cfg.Region,
		RPCListen:       cfg.RPCListen,
		RPCAdvertise:    advertiseAddress(cfg.RPCAdvertise),
		CallersListen:   cfg.CallersListen,
		OperatorsListen: cfg.OperatorsListen,
		StatusListen:    cfg.StatusListen,
		Secret:          cfg.Secret,
		Table:           store.Table(),
		Objects:         store.Objects(),
		ClaimMode:       claims.Mode(cfg.ClaimMode),
		Routing:         cfg.Routing,
		ReadyDelay:      cfg.ReadyDelay.Std(),
		ShutdownTimeout: cfg.ShutdownTimeout.Std(),
		MaxBodyBytes:    cfg.MaxBodyBytes,
		Metrics:         metrics.NewRoot(),
		Operators:       operatorHandlerFactory(cfg.Zones, cfg.Operators),
	}
	return options, setEntryTLS(cfg, &options)
}

// operatorHandlerFactory returns a function that creates the HTTP handler of an
// entry's operator API.
func operatorHandlerFactory(zones []string, operators []settings.Operator) func(*entry.Entry) (http.Handler, error) {
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

// setEntryTLS loads the TLS configurations in cfg into options.
func setEntryTLS(cfg *settings.EntrySettings, options *entry.Options) (err error) {
	if options.RPCServerTLS, err = tlsconf.Server(cfg.TLS.RPC); err != nil {
		return err
	}
	if options.RPCClientTLS, err = tlsconf.Client(cfg.TLS.RPC); err != nil {
		return err
	}
	if options.CallersTLS, err = tlsconf.Server(cfg.TLS.Callers); err != nil {
		return err
	}
	options.OperatorsTLS, err = tlsconf.Server(cfg.TLS.Operators)
	return err
}
