package membership

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/common/bubble"
	"github.com/figring/figring/store"
	"github.com/figring/figring/store/memory"
	"github.com/figring/figring/wire"
)

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
