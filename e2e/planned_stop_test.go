package e2e

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// balancerInterval is the interval at which the balancer asks for readiness.
const balancerInterval = 20 * time.Millisecond

// balancer sends callers to the entries that report that they are ready.
type balancer struct {
	cluster *cluster
	next    atomic.Uint64
	ready   atomic.Pointer[[]*process]
}

func newBalancer(c *cluster) *balancer {
	b := &balancer{cluster: c}
	b.look()
	ended := make(chan struct{})
	c.t.Cleanup(func() { close(ended) })
	go func() {
		for {
			select {
			case <-ended:
				return
			case <-time.After(balancerInterval):
				b.look()
			}
		}
	}()
	return b
}

func (b *balancer) look() {
	var ready []*process
	for _, entry := range b.cluster.entryList() {
		response, err := http.Get("http://" + entry.addresses["status"] + "/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			ready = append(ready, entry)
		}
	}
	if len(ready) > 0 {
		b.ready.Store(&ready)
	}
}

func (b *balancer) pick() *process {
	ready := *b.ready.Load()
	return ready[b.next.Add(1)%uint64(len(ready))]
}

// TestPlannedStopCutsNothingOff stops and restarts every entry, every sidecar
// and every minion under load, one after the other. Callers submit each job a
// single time, and every one is answered complete.
func TestPlannedStopCutsNothingOff(t *testing.T) {
	t.Parallel()
	c := newCluster(t, layout{entries: 3, minions: 3, entrySettings: map[string]any{"readyDelay": "500ms"}})
	caller := newCaller(c)
	running := caller.startLoad(loadShape{callers: 8, tasks: 5, runMs: 100, once: true, pick: newBalancer(c).pick})
	c.await("answered jobs", func() bool { return complete(running.finals()) > 20 })

	for index := range c.entries {
		c.stopInOrder(c.entryList()[index])
		c.restartEntry(index)
		c.awaitTargets(index, len(c.sidecars))
	}
	for index := range c.sidecars {
		c.stopTarget(c.sidecars[index])
		c.sidecars[index] = c.startSidecar(index)
		c.awaitReadyTargets(len(c.sidecars))
	}
	for index := range c.minions {
		c.stopTarget(c.minions[index])
		c.minions[index] = c.startMinion(index)
		c.awaitReadyTargets(len(c.sidecars))
	}
	final := running.stop()
	t.Logf("jobs: %d, complete: %d", len(final), complete(final))
	for _, one := range final {
		if one.err != nil {
			t.Errorf("%s at %s: %v", one.key, one.ended.Format(time.StampMilli), one.err)
		}
	}
	caller.judge()
}

func (c *cluster) stopInOrder(one *process) {
	c.t.Helper()
	begun := time.Now()
	must.EqOp(c.t, 0, one.stop(), must.Sprint(one.name))
	c.t.Logf("%s stopped after %v", one.name, time.Since(begun).Round(time.Millisecond))
}

// stopTarget stops a sidecar or a minion, and waits until every entry knows.
func (c *cluster) stopTarget(one *process) {
	c.t.Helper()
	c.stopInOrder(one)
	c.await("the entries to know of the stop of "+one.name, func() bool {
		for index := range c.entryList() {
			status, err := c.status(index)
			if err != nil || status.readyTargets() >= len(c.sidecars) {
				return false
			}
		}
		return true
	})
}

// awaitReadyTargets waits until every entry knows that many ready sidecars.
func (c *cluster) awaitReadyTargets(targets int) {
	c.t.Helper()
	for index := range c.entryList() {
		c.awaitTargets(index, targets)
	}
}
