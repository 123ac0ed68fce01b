package membership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/model"
	"github.com/figring/figring/store/fault"
)

// TestRandomFaults applies random faults, joins, crashes and departures. At every step no
// partition may have two owners, and after the faults every partition must have one.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			testCluster(t, 3, func(t *testing.T, c *cluster) {
				random := rand.New(rand.NewPCG(seed, 1))
				for range 20 {
					c.injectRandomFault(random)
					c.run(time.Duration(random.IntN(4000)) * time.Millisecond)
				}
				c.clearFaults()
				c.run(3 * maxTakeoverTime)
				total := 0
				for _, share := range c.ownedCounts() {
					total += share
				}
				must.Eq(t, model.Partitions, total)
			})
		})
	}
}

func (c *cluster) injectRandomFault(random *rand.Rand) {
	m := c.members[random.IntN(len(c.members))]
	switch random.IntN(9) {
	case 0:
		m.injector.Set(fault.Settings{Outage: true})
	case 1:
		m.injector.Set(fault.Settings{Hang: true})
	case 2:
		m.injector.Set(fault.Settings{ReplyLoss: 0.5, WriteLoss: 0.3, WriteMillis: 20})
	case 3:
		m.injector.Set(fault.Settings{BeforeMillis: 700, AfterMillis: 700})
	case 4:
		// The delays are drawn from a source of their own under the table's lock,
		// because commits run concurrently with the test's source.
		random := rand.New(rand.NewPCG(random.Uint64(), 2))
		m.delayed.mu.Lock()
		m.delayed.delay = func() time.Duration { return time.Duration(random.IntN(3)*random.IntN(3000)) * time.Millisecond }
		m.delayed.mu.Unlock()
	case 5:
		m.crash()
		c.join()
	case 6:
		// A crashed member never finishes leaving.
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
			defer cancel()
			_ = m.Leave(ctx)
		}()
		c.join()
	default:
		c.clearFaults()
	}
}

func (c *cluster) clearFaults() {
	for _, m := range c.members {
		m.injector.Set(fault.Defaults())
		m.delayed.mu.Lock()
		m.delayed.delay = func() time.Duration { return 0 }
		m.delayed.mu.Unlock()
	}
}
