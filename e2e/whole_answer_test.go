package e2e

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestWholeAnswerToItsOwnRequest delays, truncates and cuts the replies of
// sidecars under load, lets late ones arrive after their sidecar was replaced,
// and checks each answer against the texts of its own tasks.
func TestWholeAnswerToItsOwnRequest(t *testing.T) {
	t.Parallel()
	c := newCluster(t, layout{entries: 2, minions: 2, linked: true})
	caller := newCaller(c)
	running := caller.startLoad(loadShape{callers: 8, tasks: 5, runMs: 30, pick: c.everyEntry()})
	c.await("answered jobs", func() bool { return complete(running.finals()) > 20 })

	for _, one := range c.sidecarLinks {
		one.delayReplies(150 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	c.healLinks()
	for range 3 {
		for _, one := range c.sidecarLinks {
			one.truncateReplies(2)
		}
		time.Sleep(time.Second)
	}
	c.sidecarLinks[0].refuse()
	time.Sleep(time.Second)
	c.healLinks()
	// The old incarnation's replies are held until the new one is known.
	c.separate(1, 0)
	c.sidecars[1].kill()
	c.sidecars[1] = c.startSidecar(1)
	time.Sleep(2 * time.Second)
	c.healLinks()

	before := complete(running.finals())
	c.await("jobs after the faults", func() bool { return complete(running.finals()) > before+20 })
	final := running.stop()
	for _, one := range c.sidecarLinks {
		must.Positive(t, one.truncatedReplies())
	}
	t.Logf("jobs: %d, complete: %d", len(final), complete(final))
	caller.judge()
}
