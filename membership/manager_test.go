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
	takeoverBound = ownership.TakeoverAfter + 2*time.Second
	// leaveBound ends the leaving of a member that crashed meanwhile.
	leaveBound = 10 * time.Second
)

// lateTable delivers some commits after their sender was told that the outcome
// is unknown.
type lateTable struct {
	store.Table
	mu    sync.Mutex
	delay func() time.Duration
}

func (l *lateTable) Commit(ctx context.Context, txn store.Txn) ([]int64, error) {
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

// member is one entry: a manager, its writer of claims and its own faults.
type member struct {
	*Manager
	info     wire.EntryInfo
	injector *fault.Injector
	late     *lateTable
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
	m.late = &lateTable{Table: c.store, delay: func() time.Duration { return 0 }}
	table := fault.NewTable(m.late, m.injector)
	m.Manager = New(Options{Table: table, Self: m.info, OnAcquire: m.acquired, OnRelease: m.released, OnFenced: func() { m.fenced = true }})
	m.writer = claims.New(table, m.info.Incarnation, m.Fence, claims.Options{})
	ctx, cancel := context.WithCancel(context.Background())
	m.crash = func() { cancel(); m.writer.Close() }
	go func() { m.result <- m.Run(ctx) }()
	c.members = append(c.members, m)
	return m
}

func (m *member) acquired(_ int, loaded []claims.Stored) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, one := range loaded {
		m.loaded[one.Key] = one.Claimer
	}
}

func (m *member) released(int) { _ = m.writer.Flush(context.Background()) }

func (m *member) owned() int {
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

// checkExclusive fails when two members own a partition at once.
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

// run lets time pass and checks the invariant at every step.
func (c *cluster) run(d time.Duration) {
	const step = 10 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(step)
		synctest.Wait()
		c.checkExclusive()
	}
}

func (c *cluster) shares() []int {
	var shares []int
	for _, m := range c.members {
		shares = append(shares, m.owned())
	}
	return shares
}

func (c *cluster) waitShares(within time.Duration, want ...int) {
	c.t.Helper()
	end := time.Now().Add(within)
	for !slices.Equal(c.shares(), want) && time.Now().Before(end) {
		c.run(50 * time.Millisecond)
	}
	must.Eq(c.t, want, c.shares())
}

func inCluster(t *testing.T, n int, body func(t *testing.T, c *cluster)) {
	bubble.Test(t, func(t *testing.T) {
		c := newCluster(t, n)
		defer c.stop()
		c.run(6 * time.Second)
		body(t, c)
	})
}

func claimNow() claims.Claim {
	return claims.Claim{Key: model.NewJobKey("desk"), Digest: 1, Tasks: 3, ClaimedUnixMs: time.Now().UnixMilli()}
}

func TestJoin(t *testing.T) {
	inCluster(t, 1, func(t *testing.T, c *cluster) {
		must.Eq(t, []int{64}, c.shares())
		must.True(t, c.members[0].Ready())
		claim := claimNow()
		for !c.members[0].Owns(claim.Key.Partition()) || claim.Key.Partition() > 20 {
			claim = claimNow()
		}
		must.NoError(t, c.members[0].writer.Append(t.Context(), claim))
		c.join()
		c.waitShares(5*time.Second, 32, 32)
		must.Eq(t, c.members[0].info.Incarnation, c.members[1].loaded[claim.Key])
		c.join()
		c.waitShares(5*time.Second, 22, 21, 21)
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

func TestCrash(t *testing.T) {
	inCluster(t, 3, func(t *testing.T, c *cluster) {
		victim := c.members[1]
		expiry := victim.Lease()
		lost := victim.owned()
		victim.crash()
		crashed := time.Now()
		for c.members[0].owned()+c.members[2].owned() == 64-lost && time.Since(crashed) < time.Minute {
			c.run(10 * time.Millisecond)
		}
		must.False(t, time.Now().Before(expiry))
		c.waitShares(time.Until(expiry.Add(takeoverBound-model.SessionTTL)), 32, 0, 32)
		_, ok := c.members[0].Live(victim.info.Incarnation)
		must.False(t, ok)
	})
}

// TestPaused stops all traffic of a holder and lets it wake up.
func TestPaused(t *testing.T) {
	inCluster(t, 2, func(t *testing.T, c *cluster) {
		paused := c.members[0]
		paused.injector.Set(fault.Settings{Hang: true})
		c.waitShares(takeoverBound, 0, 64)
		paused.injector.Set(fault.Defaults())
		must.ErrorIs(t, paused.writer.Append(t.Context(), claimNow()), claims.ErrFenced)
		must.ErrorIs(t, <-paused.result, ErrFenced)
		must.True(t, paused.fenced)
		must.True(t, paused.Lease().IsZero())
		must.False(t, paused.Ready())
	})
}

func TestOutage(t *testing.T) {
	cases := map[string]struct {
		faults fault.Settings
		length time.Duration
	}{
		"short":          {fault.Settings{Outage: true}, 4 * time.Second},
		"long":           {fault.Settings{Outage: true}, time.Minute},
		"hanging":        {fault.Settings{Hang: true}, time.Minute},
		"writes lost":    {fault.Settings{WriteLoss: 1}, time.Minute},
		"five s a write": {fault.Settings{WriteMillis: 5000}, 30 * time.Second},
	}
	for name, outage := range cases {
		t.Run(name, func(t *testing.T) {
			inCluster(t, 3, func(t *testing.T, c *cluster) {
				before := c.shares()
				for _, m := range c.members {
					m.injector.Set(outage.faults)
				}
				c.run(outage.length)
				for _, m := range c.members {
					m.injector.Set(fault.Defaults())
				}
				c.waitShares(2*takeoverBound, before...)
				for _, m := range c.members {
					must.False(t, m.fenced)
					must.NoError(t, m.writer.Append(t.Context(), claimNow()))
				}
			})
		})
	}
}

// TestOutageEndsLeases shows that nobody owns anything while no renewal can
// succeed.
func TestOutageEndsLeases(t *testing.T) {
	inCluster(t, 2, func(t *testing.T, c *cluster) {
		for _, m := range c.members {
			m.injector.Set(fault.Settings{Outage: true})
		}
		c.run(model.SessionTTL)
		must.Eq(t, []int{0, 0}, c.shares())
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
			total += m.owned()
		}
		must.Eq(t, 64, total)
		must.NoError(t, c.members[0].Leave(t.Context()))
		must.NoError(t, c.members[0].Close(t.Context()))
		c.waitShares(10*time.Second, 0, 32, 32)
	})
}

func TestLeaveAndClose(t *testing.T) {
	inCluster(t, 3, func(t *testing.T, c *cluster) {
		leaver := c.members[0]
		claim := claimNow()
		must.NoError(t, leaver.writer.Append(t.Context(), claim))
		must.NoError(t, leaver.Leave(t.Context()))
		c.waitShares(3*time.Second, 0, 32, 32)
		must.False(t, leaver.Lease().IsZero())
		_, ok := c.members[1].Live(leaver.info.Incarnation)
		must.True(t, ok)
		must.NoError(t, leaver.Close(t.Context()))
		must.NoError(t, <-leaver.result)
		for _, key := range []string{sessionKey(leaver.info.Incarnation), fenceKey(leaver.info.Incarnation)} {
			_, err := c.store.Get(t.Context(), key)
			must.ErrorIs(t, err, store.ErrNotFound)
		}
		// Closing without leaving hands over at the next read of the others.
		must.NoError(t, c.members[1].Close(t.Context()))
		c.waitShares(3*time.Second, 0, 0, 64)
		// The last one has nobody to give to.
		must.NoError(t, c.members[2].Leave(t.Context()))
		must.NoError(t, c.members[2].Close(t.Context()))
	})
}

// TestReleaseWaitsForClaims shows that a partition is given away only when the
// outcome of its claims is known, so that the new owner loads all of them.
func TestReleaseWaitsForClaims(t *testing.T) {
	inCluster(t, 1, func(t *testing.T, c *cluster) {
		giver := c.members[0]
		claim := claimNow()
		giver.late.mu.Lock()
		giver.late.delay = func() time.Duration { return 0 }
		giver.late.mu.Unlock()
		giver.injector.Set(fault.Settings{WriteMillis: 1500})
		open := make(chan error, 1)
		go func() { open <- giver.writer.Append(context.Background(), claim) }()
		synctest.Wait()
		taker := c.join()
		must.NoError(t, giver.Leave(t.Context()))
		must.NoError(t, <-open)
		c.waitShares(10*time.Second, 0, 64)
		must.Eq(t, giver.info.Incarnation, taker.loaded[claim.Key])
	})
}

// TestCost counts the requests of entries with nothing to do.
func TestCost(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		counted := &countingTable{Table: memory.NewTable()}
		m := New(Options{Table: counted, Self: wire.EntryInfo{Incarnation: "a.1"}})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = m.Run(ctx) }()
		time.Sleep(5500 * time.Millisecond)
		synctest.Wait()
		before := counted.snapshot()
		time.Sleep(100 * time.Second)
		synctest.Wait()
		after := counted.snapshot()
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

// TestSchedules draws faults, joins, crashes and departures and checks at
// every step that no partition has two owners.
func TestSchedules(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			inCluster(t, 3, func(t *testing.T, c *cluster) {
				random := rand.New(rand.NewPCG(seed, 1))
				for range 20 {
					c.disturb(random)
					c.run(time.Duration(random.IntN(4000)) * time.Millisecond)
				}
				c.recover()
				c.run(3 * takeoverBound)
				total := 0
				for _, share := range c.shares() {
					total += share
				}
				must.Eq(t, model.Partitions, total)
			})
		})
	}
}

func (c *cluster) disturb(random *rand.Rand) {
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
		// Drawn under the table's lock, apart from the schedule's own source.
		random := rand.New(rand.NewPCG(random.Uint64(), 2))
		m.late.mu.Lock()
		m.late.delay = func() time.Duration { return time.Duration(random.IntN(3)*random.IntN(3000)) * time.Millisecond }
		m.late.mu.Unlock()
	case 5:
		m.crash()
		c.join()
	case 6:
		// A crashed member never finishes leaving.
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), leaveBound)
			defer cancel()
			_ = m.Leave(ctx)
		}()
		c.join()
	default:
		c.recover()
	}
}

func (c *cluster) recover() {
	for _, m := range c.members {
		m.injector.Set(fault.Defaults())
		m.late.mu.Lock()
		m.late.delay = func() time.Duration { return 0 }
		m.late.mu.Unlock()
	}
}
