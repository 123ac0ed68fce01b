package instance

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/figring/figring/connguard"
	"github.com/figring/figring/executor"
	"github.com/figring/figring/platform/beats"
	"github.com/figring/figring/platform/minions"
	"github.com/figring/figring/session"
	"github.com/figring/figring/settings"
)

// RunExecutor runs the sidecar of a minion until ctx ends, and then drains it.
func RunExecutor(ctx context.Context, options Options, loaded settings.ExecutorSettings) error {
	common, err := newShared(options, session.RoleSidecar, &loaded.InstanceSettings)
	if err != nil {
		return err
	}
	defer common.close()
	client := minions.NewClient(loaded.Minion)
	defer client.Close()
	role, err := executor.New(executor.Settings{
		Self:   common.self,
		Listen: loaded.RPCListen,
		Secret: loaded.Secret,

		SidecarsPerEntry:     loaded.SidecarsPerEntry,
		RunTimeEstimates:     loaded.RunTimeEstimates,
		SeparateInterference: loaded.SeparateInterference,

		Drain: loaded.StopGrace.Std() - stopMargin,
	}, executor.Dependencies{
		Minion:    client,
		Holder:    common.holder,
		Directory: common.directory,
		Log:       common.log,
		Scope:     common.metrics.Scope,
		Listen:    common.guard.ListenRPC,

		PeersDiscovered: common.peersDiscovered.Load,
	})
	if err != nil {
		return err
	}
	reports, err := common.guard.ListenHTTP(loaded.ReportsListen, "reports", false)
	if err != nil {
		return Error.Wrap(err)
	}
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, serving := errgroup.WithContext(serving)
	common.run(serving, group)
	serve(serving, group, reports, newServer(connguard.Handler(beats.Handler(role))))
	group.Go(func() error {
		defer stop()
		return role.Run(ctx)
	})
	return group.Wait()
}
