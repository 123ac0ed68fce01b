package membership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/claims"
	"github.com/figring/figring/common/bubble"
	"github.com/figring/figring/decision/ownership"
	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
	"github.com/figring/figring/store/fault"
	"github.com/figring/figring/store/memory"
	"github.com/figring/figring/wire"
)

const (
	maxTakeoverTime = ownership.TakeoverAfter + 2*time.Second
	// leaveTimeout bounds Leave of a member that crashes meanwhile.
	leaveTimeout = 10 * time.Second
)

// delayedTable delivers some commits after their sender was told that the outcome
// is unknown.
type delayedTable struct {
	store.Table
	mu    sync.Mutex
	delay func() time.Duration
}

func (l *delayedTable) Commit(ctx context.Context, txn store.Txn) ([]int64, error) {
	l.mu.Lock()
	delay := l.delay()
	l.mu.Unlock()
	if delay == 0 {
		return l.Table.Commit(ctx, txn)
	}
	go func() {
		time.Sleep(delay)
		_, _ = l.Table.Commit(context.Background(), txn)
	}()
	return nil, store.ErrUnknownOutcome
}

// member is one entry: a manager, its writer of claims and its fault injector.
type member struct {
	*Manager
	info     wire.EntryInfo
	injector *fault.Injector
	delayed  *delayedTable
	writer   *claims.Writer
	crash    context.CancelFunc
	result   chan error

	mu     sync.Mutex
	loaded map[model.JobKey]model.Incarnation
	fenced bool
}

type cluster struct {
	t       *testing.T
	store   *memory.Table
	members []*member
}

func newCluster(t *testing.T, n int) *cluster {
	c := &cluster{t: t, store: memory.NewTable()}
	for range n {
		c.join()
	}
	return c
}

func (c *cluster) join() *member {
	name := fmt.Sprintf("e%02d", len(c.members))
	m := &member{
		info:     wire.EntryInfo{Incarnation: model.Incarnation(name + ".x"), Name: name, Address: name + ":1"},
		injector: fault.New(fault.Defaults(), uint64(len(c.members)), nil),
		result:   make(chan error, 1),
		loaded:   make(map[model.JobKey]model.Incarnation),
	}
	m.delayed = &delayedTable{Table: c.store, delay: func() time.Duration { return 0 }}
	table := fault.NewTable(m.delayed, m.injector)
	m.Manager = New(Options{Table: table, Self: m.info, OnAcquire: m.onAcquire, OnRelease: m.onRelease, OnFenced: func() { m.fenced = true }})
	m.writer = claims.New(table, m.info.Incarnation, m.Fence, claims.Options{})
	ctx, cancel := context.WithCancel(context.Background())
	m.crash = func() { cancel(); m.writer.Close() }
	go func() { m.result <- m.Run(ctx) }()
	c.members = append(c.members, m)
	return m
}

func (m *member) onAcquire(_ int, loaded []claims.Stored) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, stored := range loaded {
		m.loaded[stored.Key] = stored.Claimer
	}
}

func (m *member) onRelease(int) { _ = m.writer.Flush(context.Background()) }

func (m *member) ownedCount() int {
	count := 0
	for p := range model.Partitions {
		if m.Owns(p) {
			count++
		}
	}
	return count
}

func (c *cluster) stop() {
	for _, m := range c.members {
		m.crash()
	}
}

// checkExclusive fails the test if two members own a partition at the same time.
func (c *cluster) checkExclusive() {
	c.t.Helper()
	for p := range model.Partitions {
		var owners []string
		for _, m := range c.members {
			if m.Owns(p) {
				owners = append(owners, m.info.Name)
			}
		}
		must.LessEq(c.t, 1, len(owners), must.Sprintf("partition %d is owned by %v", p, owners))
	}
}

// run advances time by d and checks at every step that ownership is exclusive.
func (c *cluster) run(d time.Duration) {
	const step = 10 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(step)
		synctest.Wait()
		c.checkExclusive()
	}
}

func (c *cluster) ownedCounts() []int {
	var shares []int
	for _, m := range c.members {
		shares = append(shares, m.ownedCount())
	}
	return shares
}

func (c *cluster) waitForOwnedCounts(within time.Duration, want ...int) {
	c.t.Helper()
	end := time.Now().Add(within)
	for !slices.Equal(c.ownedCounts(), want) && time.Now().Before(end) {
		c.run(50 * time.Millisecond)
	}
	must.Eq(c.t, want, c.ownedCounts())
}

func testCluster(t *testing.T, n int, body func(t *testing.T, c *cluster)) {
	bubble.Test(t, func(t *testing.T) {
		c := newCluster(t, n)
		defer c.stop()
		c.run(6 * time.Second)
		body(t, c)
	})
}

func newClaim() claims.Claim {
	return claims.Claim{Key: model.NewJobKey("desk"), Digest: 1, Tasks: 3, ClaimedUnixMs: time.Now().UnixMilli()}
}

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

// TestIdleRequestRate checks the number of table requests of an idle entry.
func TestIdleRequestRate(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		table := &countingTable{Table: memory.NewTable()}
		m := New(Options{Table: table, Self: wire.EntryInfo{Incarnation: "a.1"}})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = m.Run(ctx) }()
		time.Sleep(5500 * time.Millisecond)
		synctest.Wait()
		before := table.snapshot()
		time.Sleep(100 * time.Second)
		synctest.Wait()
		after := table.snapshot()
		for kind := range after {
			must.Eq(t, 100, after[kind]-before[kind])
		}
	})
}

type countingTable struct {
	store.Table
	mu    sync.Mutex
	count [3]int
}

func (c *countingTable) add(kind int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count[kind]++
}

func (c *countingTable) snapshot() [3]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

func (c *countingTable) Get(ctx context.Context, key string) (store.Row, error) {
	c.add(0)
	return c.Table.Get(ctx, key)
}

func (c *countingTable) List(ctx context.Context, prefix, from string, limit int) (store.Page, error) {
	c.add(1)
	return c.Table.List(ctx, prefix, from, limit)
}

func (c *countingTable) Commit(ctx context.Context, txn store.Txn) ([]int64, error) {
	c.add(2)
	return c.Table.Commit(ctx, txn)
}

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
