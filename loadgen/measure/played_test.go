package measure

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/common/metrics"
	"github.com/figring/figring/loadgen/fleet"
	"github.com/figring/figring/loadgen/ideal"
	"github.com/figring/figring/loadgen/runner"
	"github.com/figring/figring/loadgen/trace"
	"github.com/figring/figring/minion"
)

// begun is the start of the test's run.
var begun = time.Unix(1_000_000, 0)

func started(job string, task, worker int, from, until time.Duration) minion.Start {
	zone := "schwabing"
	if worker == 1 {
		zone = closedZone
	}
	return minion.Start{
		Job: job, Task: task, Worker: workerName(worker), Zone: zone,
		StartNs: begun.Add(from).UnixNano(), EndNs: begun.Add(until).UnixNano(),
	}
}

// handmade is a run of two jobs of which the second one failed, at a worker of
// speed 1 and, in the zone that closes, one of speed 2.
func handmade() *played {
	p := &played{result: &runner.Result{Started: begun}}
	p.settings.Workers = []fleet.Worker{{Slots: 1, Speed: 1, Zone: "schwabing"}, {Slots: 1, Speed: 2, Zone: closedZone}}
	p.trace.Jobs = []trace.Job{
		{Caller: "desk", Tasks: []trace.Task{{Run: 2 * time.Second}, {Run: 4 * time.Second}}},
		{Caller: "desk", At: time.Second, Tasks: []trace.Task{{Run: time.Second}}},
	}
	p.result.Outcomes = []runner.Outcome{
		{Caller: "desk", Key: "a", Code: runner.CodeComplete, EndNs: int64(3 * time.Second)},
		{Job: 1, Caller: "desk", Key: "b", Code: "task_failed"},
	}
	p.ledger = []minion.Start{
		started("desk/a", 0, 0, 0, 2*time.Second),
		started("desk/a", 1, 1, 500*time.Millisecond, 2500*time.Millisecond),
		started("desk/b", 0, 0, 2*time.Second, 3*time.Second),
	}
	return p
}

func TestUsefulWorkIsOfCompleteJobs(t *testing.T) {
	p := handmade()
	must.Eq(t, 6, p.useful(0, 10*time.Second))
	must.Eq(t, 7, p.done(0, 10*time.Second))
	must.Eq(t, 1+1, p.useful(0, time.Second))
	must.Eq(t, 1, p.useful(2*time.Second, 10*time.Second))
	placed := ideal.Place(p.trace.Jobs, p.settings.Capacity())
	must.Eq(t, 7, idealWork(placed, p.settings.Capacity(), 0, 10*time.Second))
}

func TestCompareLeavesOutWhatDidNotComplete(t *testing.T) {
	found := handmade().compare()
	must.Eq(t, 1, found.Jobs)
	// The ideal puts the longer task on the faster worker: both end after 2 s.
	must.Eq(t, 1.5, found.Mean)
	must.Eq(t, 1.5, found.P99)
	must.Eq(t, 2000, found.IdealMs)
}

func TestStartedTwice(t *testing.T) {
	p := handmade()
	must.Eq(t, 0, p.startedTwice())
	p.ledger = append(p.ledger, p.ledger[0], p.ledger[0], p.ledger[2])
	must.Eq(t, 2, p.startedTwice())
}

func TestStartsInTheZone(t *testing.T) {
	p := handmade()
	inZone := func(start *minion.Start) bool { return start.Zone == closedZone }
	must.Eq(t, 1, p.startsWithin(0, time.Second, inZone))
	must.Eq(t, 0, p.startsWithin(600*time.Millisecond, 9*time.Second, inZone))
	must.Eq(t, 400*time.Millisecond, p.lastStart(100*time.Millisecond, time.Second, inZone))
	must.Eq(t, 300*time.Millisecond, p.firstStart(200*time.Millisecond, inZone))
	must.Negative(t, p.firstStart(time.Second, inZone))
	must.Eq(t, 1.0/3, p.shareAt(1, 0, 10*time.Second))
}

func TestWasteIsCounted(t *testing.T) {
	p := handmade()
	p.before = &fleet.Snapshot{Entries: fleet.Samples{}, Sidecars: fleet.Samples{}}
	p.after = &fleet.Snapshot{
		Entries: fleet.Samples{
			fleet.MetricName(metrics.EntryHandedBack) + `{reason="queue_full"}`: 2,
			fleet.MetricName(metrics.EntryIdleRenewals):                         3,
		},
		Sidecars: fleet.Samples{
			fleet.MetricName(metrics.SidecarStarts):          100,
			fleet.MetricName(metrics.SidecarRenewalFailures): 1,
		},
	}
	rows := p.waste()
	must.Eq(t, 0.06, rows[0].Figure)
	must.Eq(t, Short, rows[0].Verdict)
}

func TestHighestUseOfANode(t *testing.T) {
	before := []fleet.Usage{{Processor: time.Second}, {Processor: time.Second}}
	after := []fleet.Usage{{Processor: 2 * time.Second, Resident: 1 << 20}, {Processor: time.Second, Resident: 3 << 20}}
	most := highest(before, after, []float64{0, 0}, []float64{5000, 20000}, 10)
	must.Eq(t, use{core: 10, mebibytes: 3, kilobytes: 2}, most)
}
