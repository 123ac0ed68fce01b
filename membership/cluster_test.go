package membership

import (
	"context"
	"fmt"
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
