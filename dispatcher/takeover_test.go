package dispatcher

import (
	"context"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/common/boottime"
	"github.com/figring/figring/common/eventlog"
	"github.com/figring/figring/common/serial"
	"github.com/figring/figring/decision/heldjob"
	"github.com/figring/figring/decision/joblease"
	"github.com/figring/figring/jobstore"
	"github.com/figring/figring/manifest"
	"github.com/figring/figring/session"
	"github.com/figring/figring/session/directory"
	"github.com/figring/figring/store"
	"github.com/figring/figring/store/fault"
	"github.com/figring/figring/store/memory"
	"github.com/figring/figring/work"
)

// takeoverFixture is the takeover of an entry whose job store has faults of its own for each
// partition. Its rounds are run by hand.
type takeoverFixture struct {
	t         *testing.T
	takeover  *takeover
	injectors [jobstore.Partitions]*fault.Injector
}

func newTakeoverFixture(t *testing.T) *takeoverFixture {
	t.Helper()
	f := &takeoverFixture{t: t}
	for i := range f.injectors {
		f.injectors[i] = fault.New(fault.Settings{}, uint64(i), func(context.Context, time.Duration) error { return nil })
	}
	jobs := jobstore.New(func(partition int) store.Table { return fault.NewTable(memory.NewTable(), f.injectors[partition]) })
	owners := jobstore.NewOwnerTable(memory.NewTable())
	self := session.Peer{Name: "e", Role: session.RoleEntry, Boot: "1"}
	d := &Dispatcher{
		settings: Settings{Self: self, PartitionWritesPerSecond: 100},
		deps:     Dependencies{Directory: directory.New(), Log: eventlog.New(io.Discard, "e"), Jobs: jobs, Owners: owners},
		core:     heldjob.New("a", rand.New(rand.NewPCG(1, 2)), boottime.Now()),
	}
	d.loop = serial.New(loopQueueSize, tickInterval, d.core.Tick, func(time.Time) {})
	go d.loop.Run(t.Context())
	d.storedJobs = newStoredJobs(d, jobs, owners)
	_, err := owners.Put(t.Context(), joblease.OwnerRow{Name: self.Name, Boot: self.Boot + ".0"})
	must.NoError(t, err)
	f.takeover = &takeover{storedJobs: d.storedJobs, monitor: joblease.NewMonitor(), orphanSince: make(map[jobstore.Owner]time.Time)}
	return f
}

// setOutage makes a partition of the job store fail, or end to.
func (f *takeoverFixture) setOutage(partition int, outage bool) {
	f.injectors[partition].Set(fault.Settings{Outage: outage})
}

// addOwnJob adds a job that this entry believes to run. The job store has no open job of that
// ID, as after another entry has ended it.
func (f *takeoverFixture) addOwnJob(id work.JobID) {
	f.takeover.dispatcher.loop.Do(func(now time.Time) {
		f.takeover.dispatcher.core.AddStoredJob(now, heldjob.StoredJob{
			Job: work.Job{ID: id, Steps: []work.Step{{Count: 1}}}, Route: manifest.Route{Name: "r", Service: "desk"}, Accepted: time.Now(), Epoch: session.FirstEpoch,
		})
	})
}

// ownJobCount returns how many jobs this entry believes to run.
func (f *takeoverFixture) ownJobCount() int { return len(f.takeover.unendedJobs()) }

// TestNoticeOutlastsAFailedScan guards against tasks of a cancelled job that start long after
// the cancelling was acknowledged: its owner has met the notice of another entry, and the scan
// that follows fails, or finds the job gone and can't read what became of it.
func TestNoticeOutlastsAFailedScan(t *testing.T) {
	f := newTakeoverFixture(t)
	f.takeover.runRound(t.Context())
	must.False(t, f.takeover.ownCheck.due())
	f.addOwnJob("j")
	f.takeover.ownCheck.request()
	for partition := range f.injectors {
		f.setOutage(partition, true)
		f.takeover.runRound(t.Context())
		must.True(t, f.takeover.ownCheck.due())
		must.EqOp(t, 1, f.ownJobCount())
		f.setOutage(partition, false)
	}
	f.takeover.runRound(t.Context())
	must.False(t, f.takeover.ownCheck.due())
	must.EqOp(t, 0, f.ownJobCount())
}

// TestScanThatFailedIsRepeated guards against a wait of idleScanEvery after a failed scan that
// nobody has asked for: whoever ended a job was lost before it could tell.
func TestScanThatFailedIsRepeated(t *testing.T) {
	f := newTakeoverFixture(t)
	f.addOwnJob("j")
	f.setOutage(0, true)
	f.takeover.runRound(t.Context())
	f.setOutage(0, false)
	f.takeover.runRound(t.Context())
	must.EqOp(t, 0, f.ownJobCount())
}

// TestRequestDuringAComparisonIsNotSettledByIt guards against a notice that is met while a
// scan is under way that began before it.
func TestRequestDuringAComparisonIsNotSettledByIt(t *testing.T) {
	check := newOwnJobsCheck()
	check.request()
	begun := check.begin()
	check.request()
	check.settle(begun)
	must.True(t, check.due())
	check.settle(check.begin())
	must.False(t, check.due())
}

// TestScanIsNotHeldUpByAPartitionThatHangs guards against owner rows that nobody reads, so that
// no job is taken over, while a scan that is repeated waits for one partition.
func TestScanIsNotHeldUpByAPartitionThatHangs(t *testing.T) {
	f := newTakeoverFixture(t)
	f.injectors[0].Set(fault.Settings{Hang: true})
	began := boottime.Now()
	f.takeover.runRound(t.Context())
	must.Less(t, 2*time.Second, boottime.Now().Sub(began))
	must.True(t, f.takeover.nextScan.Before(boottime.Now()))
}
