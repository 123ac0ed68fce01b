package e2e

import (
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/model"
)

// partitionCount is the number of partitions that the entries share.
const partitionCount = model.Partitions

// TestEntryPausedPastItsLease stops an entry under load until the others have
// taken its partitions over, and lets it go on. What it still had to dispatch
// must not start any more.
func TestEntryPausedPastItsLease(t *testing.T) {
	c := newCluster(t, layout{entries: 3, minions: 3})
	caller := newCaller(c)
	running := caller.startLoad(loadShape{
		callers: killedLoadCallers, tasks: killedLoadTasks, runMs: killedLoadRunMs, pick: c.everyEntry(),
	})
	c.await("answered jobs", func() bool { return complete(running.finals()) > 30 })

	paused := c.entries[0]
	paused.signal(syscall.SIGSTOP)
	c.awaitTakeover(1, 2)
	// Those who waited at the survivors for the paused owner have resubmitted.
	time.Sleep(2 * time.Second)
	before := complete(running.finals())
	paused.signal(syscall.SIGCONT)
	c.await("the paused entry to be back", func() bool {
		status, err := c.status(0)
		return err == nil && status.Ready && status.Partitions > 0
	})
	c.await("jobs after the pause", func() bool { return complete(running.finals()) > before+30 })
	final := running.stop()
	t.Logf("jobs: %d, complete: %d", len(final), complete(final))
	caller.judge()
	must.Greater(t, 60, complete(final))
}
