package e2e

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/api"
)

// TestLostStoreReplies loses writes and replies of the store under load, with
// resubmissions at every entry.
func TestLostStoreReplies(t *testing.T) {
	t.Parallel()
	c := newCluster(t, layout{entries: 3, minions: 2})
	caller := newCaller(c)
	running := caller.startLoad(loadShape{callers: 10, tasks: 3, runMs: 20, pick: c.everyEntry()})
	for range 3 {
		c.fault(`{"replyLoss":0.4,"writeLoss":0.2}`)
		time.Sleep(1500 * time.Millisecond)
		c.fault(`{}`)
		time.Sleep(500 * time.Millisecond)
	}
	final := running.stop()
	t.Logf("jobs: %d, complete: %d", len(final), complete(final))
	must.Greater(t, 20, complete(final))
	caller.judge()
}

// TestSidecarRestartsUnderLoad kills and restarts sidecars, with resubmissions:
// what the former incarnation may have started is not started again.
func TestSidecarRestartsUnderLoad(t *testing.T) {
	t.Parallel()
	c := newCluster(t, layout{entries: 2, minions: 3})
	caller := newCaller(c)
	running := caller.startLoad(loadShape{callers: 8, tasks: 8, runMs: 100, pick: c.everyEntry()})
	c.await("answered jobs", func() bool { return complete(running.finals()) > 10 })
	for index := range c.sidecars {
		c.sidecars[index].kill()
		c.sidecars[index] = c.startSidecar(index)
		time.Sleep(1500 * time.Millisecond)
	}
	before := complete(running.finals())
	c.await("jobs after the restarts", func() bool { return complete(running.finals()) > before+10 })
	final := running.stop()
	t.Logf("jobs: %d, complete: %d", len(final), complete(final))
	caller.judge()
}

// TestNonIdempotentRequestsRunOnce sends requests without a key, which nobody
// can submit again, while connections are cut, replies truncated and a sidecar
// and an entry killed. Each has a class of its own, by which the ledger tells.
func TestNonIdempotentRequestsRunOnce(t *testing.T) {
	t.Parallel()
	c := newCluster(t, layout{entries: 2, minions: 2, linked: true})
	caller := newCaller(c)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	var mu sync.Mutex
	answered := make(map[string]bool)
	for sender := range 8 {
		wait.Go(func() {
			for number := 0; ; number++ {
				select {
				case <-stop:
					return
				default:
				}
				class := fmt.Sprintf("billing-%d-%d", sender, number)
				request := &api.SingleRequest{Class: class, TimeoutMs: 3000, Payload: payloadOf(class, 0, 30)}
				_, err := caller.at(c.entryList()[number%2]).Request(t.Context(), request)
				mu.Lock()
				answered[class] = err == nil
				mu.Unlock()
				if err != nil {
					time.Sleep(50 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(time.Second)
	for range 3 {
		for _, one := range c.sidecarLinks {
			one.truncateReplies(2)
		}
		time.Sleep(300 * time.Millisecond)
		c.sidecarLinks[1].refuse()
		time.Sleep(300 * time.Millisecond)
		c.healLinks()
	}
	c.sidecars[0].kill()
	c.sidecars[0] = c.startSidecar(0)
	time.Sleep(time.Second)
	c.entryList()[1].kill()
	time.Sleep(time.Second)
	close(stop)
	wait.Wait()

	counts := make(map[string]int)
	for _, start := range c.starts() {
		counts[start.Class]++
	}
	succeeded := 0
	for class, done := range answered {
		if done {
			succeeded++
		}
		if counts[class] > 1 || (done && counts[class] != 1) {
			t.Errorf("%s: answered %t, %d starts", class, done, counts[class])
		}
	}
	t.Logf("requests: %d, answered with a result: %d", len(answered), succeeded)
	must.Greater(t, 50, succeeded)
	must.Less(t, len(answered), succeeded, must.Sprint("the faults struck no request"))
}
