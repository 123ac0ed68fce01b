package sidecar

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"

	"github.com/figring/figring/platform"
)

// gatedTable fails every request while out is set, and loses the answer of
// the first write of a sidecar's row when doubt is set.
type gatedTable struct {
	platform.Table
	out     atomic.Bool
	doubt   atomic.Bool
	doubted atomic.Bool
}

func (g *gatedTable) Get(ctx context.Context, key string) (platform.Row, error) {
	if g.out.Load() {
		return platform.Row{}, fmt.Errorf("%w: test", platform.ErrUnavailable)
	}
	return g.Table.Get(ctx, key)
}

func (g *gatedTable) List(ctx context.Context, prefix, from string, limit int) (platform.Page, error) {
	if g.out.Load() {
		return platform.Page{}, fmt.Errorf("%w: test", platform.ErrUnavailable)
	}
	return g.Table.List(ctx, prefix, from, limit)
}

func (g *gatedTable) Commit(ctx context.Context, txn platform.Txn) ([]int64, error) {
	if g.out.Load() {
		return nil, fmt.Errorf("%w: test", platform.ErrUnavailable)
	}
	versions, err := g.Table.Commit(ctx, txn)
	if strings.HasPrefix(txn.Writes[0].Key, RowPrefix) && g.doubt.Swap(false) {
		g.doubted.Store(true)
		return nil, fmt.Errorf("%w: test", platform.ErrUnknownOutcome)
	}
	return versions, err
}
