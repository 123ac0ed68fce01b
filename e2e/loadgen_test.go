package e2e

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/common/metrics"
	"github.com/figring/figring/loadgen/fleet"
	"github.com/figring/figring/loadgen/runner"
	"github.com/figring/figring/loadgen/trace"
	"github.com/figring/figring/model"
)

// TestFleetOfTheLoadTool starts a small fleet as the load tool does, plays a
// trace over it and checks that what it counts agrees with the ledgers.
func TestFleetOfTheLoadTool(t *testing.T) {
	settings := fleet.Desk(binary, t.TempDir())
	settings.Entries = 2
	settings.Workers = settings.Workers[:4]
	settings.Callers = []model.Caller{{Name: deskCaller}}
	running, err := fleet.Start(t.Context(), settings)
	defer running.Stop()
	must.NoError(t, err)
	before, err := running.Snapshot(t.Context())
	must.NoError(t, err)

	shape := trace.Sized(10)
	shape.Caller = deskCaller
	config := trace.DefaultConfig(shape, 1, time.Second, 0, 0)
	config.Jobs, config.ResubmitShare, config.CancelWaves = 12, 1, 0
	jobs := trace.Generate(config)
	result, err := runner.Run(t.Context(), jobs.Jobs, runner.Options{
		Targets: running.CallerURLs(),
		Tokens:  settings.Tokens(),
		Retry:   true,
	})
	must.NoError(t, err)
	must.Eq(t, map[string]int{runner.CodeComplete: 12}, result.Codes)
	must.EqOp(t, 0, result.Mismatches)

	after, err := running.Snapshot(t.Context())
	must.NoError(t, err)
	ledger, err := running.Ledger(t.Context())
	must.NoError(t, err)
	must.Len(t, 120, ledger)
	must.EqOp(t, 120, after.Sidecars.Since(before.Sidecars).Sum(fleet.MetricName(metrics.SidecarStarts)))
	for i := range after.EntryBytes {
		must.Greater(t, before.EntryBytes[i], after.EntryBytes[i])
	}

	_, err = running.CloseZone(t.Context(), settings.Workers[0].Zone)
	must.NoError(t, err)
	_, err = running.OpenZone(t.Context(), settings.Workers[0].Zone)
	must.NoError(t, err)
	_, err = running.CloseZone(t.Context(), "nowhere")
	must.Error(t, err)
}
