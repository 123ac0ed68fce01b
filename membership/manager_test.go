package membership

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/claims"
	"github.com/figring/figring/common/bubble"
	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
	"github.com/figring/figring/store/fault"
)

func TestPartitionsRebalanceOnJoin(t *testing.T) {
	testCluster(t, 1, func(t *testing.T, c *cluster) {
		must.Eq(t, []int{64}, c.ownedCounts())
		must.True(t, c.members[0].Ready())
		claim := newClaim()
		for !c.members[0].Owns(claim.Key.Partition()) || claim.Key.Partition() > 20 {
			claim = newClaim()
		}
		must.NoError(t, c.members[0].writer.Append(t.Context(), claim))
		c.join()
		c.waitForOwnedCounts(5*time.Second, 32, 32)
		must.Eq(t, c.members[0].info.Incarnation, c.members[1].loaded[claim.Key])
		c.join()
		c.waitForOwnedCounts(5*time.Second, 22, 21, 21)
		entries, version := c.members[0].Entries()
		must.Len(t, 3, entries)
		_, other := c.members[2].Entries()
		must.Eq(t, version, other)
		owner, ok := c.members[2].Owner(claim.Key.Partition())
		must.True(t, ok)
		must.True(t, slices.ContainsFunc(c.members, func(m *member) bool {
			return m.info == owner && m.Owns(claim.Key.Partition())
		}))
	})
}

func TestCrashedMemberIsTakenOver(t *testing.T) {
	testCluster(t, 3, func(t *testing.T, c *cluster) {
		victim := c.members[1]
		expiry := victim.Lease()
		lost := victim.ownedCount()
		victim.crash()
		crashedAt := time.Now()
		for c.members[0].ownedCount()+c.members[2].ownedCount() == 64-lost && time.Since(crashedAt) < time.Minute {
			c.run(10 * time.Millisecond)
		}
		must.False(t, time.Now().Before(expiry))
		c.waitForOwnedCounts(time.Until(expiry.Add(maxTakeoverTime-model.SessionTTL)), 32, 0, 32)
		_, ok := c.members[0].Live(victim.info.Incarnation)
		must.False(t, ok)
	})
}

// TestPausedMemberIsFenced suspends all table requests of a member until its
// partitions are taken over. Afterwards the member must find that it is fenced.
func TestPausedMemberIsFenced(t *testing.T) {
	testCluster(t, 2, func(t *testing.T, c *cluster) {
		paused := c.members[0]
		paused.injector.Set(fault.Settings{Hang: true})
		c.waitForOwnedCounts(maxTakeoverTime, 0, 64)
		paused.injector.Set(fault.Defaults())
		must.ErrorIs(t, paused.writer.Append(t.Context(), newClaim()), claims.ErrFenced)
		must.ErrorIs(t, <-paused.result, ErrFenced)
		must.True(t, paused.fenced)
		must.True(t, paused.Lease().IsZero())
		must.False(t, paused.Ready())
	})
}

func TestOwnershipReturnsAfterOutage(t *testing.T) {
	cases := map[string]struct {
		faults fault.Settings
		length time.Duration
	}{
		"short":         {fault.Settings{Outage: true}, 4 * time.Second},
		"long":          {fault.Settings{Outage: true}, time.Minute},
		"hanging":       {fault.Settings{Hang: true}, time.Minute},
		"writes lost":   {fault.Settings{WriteLoss: 1}, time.Minute},
		"5 s per write": {fault.Settings{WriteMillis: 5000}, 30 * time.Second},
	}
	for name, outage := range cases {
		t.Run(name, func(t *testing.T) {
			testCluster(t, 3, func(t *testing.T, c *cluster) {
				before := c.ownedCounts()
				for _, m := range c.members {
					m.injector.Set(outage.faults)
				}
				c.run(outage.length)
				for _, m := range c.members {
					m.injector.Set(fault.Defaults())
				}
				c.waitForOwnedCounts(2*maxTakeoverTime, before...)
				for _, m := range c.members {
					must.False(t, m.fenced)
					must.NoError(t, m.writer.Append(t.Context(), newClaim()))
				}
			})
		})
	}
}

// TestOutageEndsLeases guards against ownership that outlasts the lease: no member owns
// a partition once no renewal has succeeded for the session's lifetime.
func TestOutageEndsLeases(t *testing.T) {
	testCluster(t, 2, func(t *testing.T, c *cluster) {
		for _, m := range c.members {
			m.injector.Set(fault.Settings{Outage: true})
		}
		c.run(model.SessionTTL)
		must.Eq(t, []int{0, 0}, c.ownedCounts())
	})
}

func TestLostReplies(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stop()
		for _, m := range c.members {
			m.injector.Set(fault.Settings{ReplyLoss: 1, ReadMillis: 1, WriteMillis: 5})
		}
		c.run(20 * time.Second)
		total := 0
		for _, m := range c.members {
			must.True(t, m.Ready())
			total += m.ownedCount()
		}
		must.Eq(t, 64, total)
		must.NoError(t, c.members[0].Leave(t.Context()))
		must.NoError(t, c.members[0].Close(t.Context()))
		c.waitForOwnedCounts(10*time.Second, 0, 32, 32)
	})
}

func TestLeaveAndClose(t *testing.T) {
	testCluster(t, 3, func(t *testing.T, c *cluster) {
		leaver := c.members[0]
		claim := newClaim()
		must.NoError(t, leaver.writer.Append(t.Context(), claim))
		must.NoError(t, leaver.Leave(t.Context()))
		c.waitForOwnedCounts(3*time.Second, 0, 32, 32)
		must.False(t, leaver.Lease().IsZero())
		_, ok := c.members[1].Live(leaver.info.Incarnation)
		must.True(t, ok)
		must.NoError(t, leaver.Close(t.Context()))
		must.NoError(t, <-leaver.result)
		for _, key := range []string{sessionKey(leaver.info.Incarnation), fenceKey(leaver.info.Incarnation)} {
			_, err := c.store.Get(t.Context(), key)
			must.ErrorIs(t, err, store.ErrNotFound)
		}
		// After Close without Leave, the other members take over at their next read.
		must.NoError(t, c.members[1].Close(t.Context()))
		c.waitForOwnedCounts(3*time.Second, 0, 0, 64)
		// The last member leaves although no other can take its partitions.
		must.NoError(t, c.members[2].Leave(t.Context()))
		must.NoError(t, c.members[2].Close(t.Context()))
	})
}

// TestReleaseWaitsForClaims guards against a transfer that commits before the outcome of
// the partition's pending claims is known, so that the new owner would miss one.
func TestReleaseWaitsForClaims(t *testing.T) {
	testCluster(t, 1, func(t *testing.T, c *cluster) {
		oldOwner := c.members[0]
		claim := newClaim()
		oldOwner.delayed.mu.Lock()
		oldOwner.delayed.delay = func() time.Duration { return 0 }
		oldOwner.delayed.mu.Unlock()
		oldOwner.injector.Set(fault.Settings{WriteMillis: 1500})
		open := make(chan error, 1)
		go func() { open <- oldOwner.writer.Append(context.Background(), claim) }()
		synctest.Wait()
		newOwner := c.join()
		must.NoError(t, oldOwner.Leave(t.Context()))
		must.NoError(t, <-open)
		c.waitForOwnedCounts(10*time.Second, 0, 64)
		must.Eq(t, oldOwner.info.Incarnation, newOwner.loaded[claim.Key])
	})
}
