package e2e

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// killedLoad is the load under which a process is killed: more tasks than there
// are slots, so that each entry has tasks that wait, run and end.
const (
	killedLoadCallers = 12
	killedLoadTasks   = 6
	killedLoadRunMs   = 150
)

// TestEntryKilledUnderLoad kills one of three entries. Callers resubmit what
// they lost, and no task is started twice. It reports the share of the jobs
// that were answered complete and the time until the killed entry's were.
func TestEntryKilledUnderLoad(t *testing.T) {
	c := newCluster(t, layout{entries: 3, minions: 3})
	caller := newCaller(c)
	running := caller.startLoad(loadShape{
		callers: killedLoadCallers, tasks: killedLoadTasks, runMs: killedLoadRunMs, pick: c.everyEntry(),
	})
	c.await("answered jobs", func() bool { return complete(running.finals()) > 30 })

	killed := time.Now()
	c.entryList()[0].kill()
	c.awaitTakeover(1, 2)
	takenOver := time.Since(killed)
	time.Sleep(3 * time.Second)
	final := running.stop()
	caller.judge()

	caller.reportKill(t, final, killed, takenOver)
	must.Greater(t, 30, complete(final))
	for _, one := range final {
		must.True(t, one.err == nil || lasting(one.err), must.Sprintf("%s has no final answer: %v", one.key, one.err))
	}
}

// awaitTakeover waits until the entries own every partition between them.
func (c *cluster) awaitTakeover(entries ...int) {
	c.t.Helper()
	c.await("a takeover", func() bool {
		owned := 0
		for _, entry := range entries {
			status, err := c.status(entry)
			if err != nil {
				return false
			}
			owned += status.Partitions
		}
		return owned == partitionCount
	})
}

// reportKill logs what became of the jobs that were in progress at the kill.
func (l *caller) reportKill(t *testing.T, final []finalAnswer, killed time.Time, takenOver time.Duration) {
	t.Helper()
	var struck []finalAnswer
	var waits []time.Duration
	for _, one := range final {
		if one.begun.Before(killed) && one.ended.After(killed) {
			struck = append(struck, one)
			waits = append(waits, one.ended.Sub(killed))
		}
	}
	slices.Sort(waits)
	t.Logf("jobs: %d, complete: %d; partitions taken over after %v", len(final), complete(final), takenOver.Round(time.Millisecond))
	if len(waits) > 0 {
		t.Logf("in progress at the kill: %d, complete: %d, answered after median %v, last %v",
			len(struck), complete(struck), waits[len(waits)/2].Round(time.Millisecond), waits[len(waits)-1].Round(time.Millisecond))
	}
}

// TestResubmitWhileOwnerIsGone kills the entry that all jobs were handed to
// while their tasks run, and resubmits each at both other entries at once.
func TestResubmitWhileOwnerIsGone(t *testing.T) {
	c := newCluster(t, layout{entries: 3, minions: 3})
	caller := newCaller(c)
	var wait sync.WaitGroup
	for range 12 {
		job := caller.newJob(4, 700)
		wait.Go(func() {
			_, _ = caller.submit(t.Context(), c.entries[0], job)
			for _, survivor := range []int{1, 2} {
				wait.Go(func() { _, _ = caller.submitUntil(job, finalLimit, c.onlyEntry(survivor)) })
			}
		})
	}
	c.await("running tasks", func() bool { return len(c.starts()) >= 24 })
	c.entries[0].kill()
	wait.Wait()
	caller.judge()
	must.Positive(t, len(caller.keys()))
}
