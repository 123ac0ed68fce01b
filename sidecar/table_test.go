package sidecar

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"

	"github.com/figring/figring/store"
	"github.com/figring/figring/wire"
)

// faultyTable fails every request while unavailable is set. If loseReply is set, it
// performs the next write of a sidecar's row but reports an unknown outcome, and
// sets replyLost.
type faultyTable struct {
	store.Table
	unavailable atomic.Bool
	loseReply   atomic.Bool
	replyLost   atomic.Bool
}

func (t *faultyTable) Get(ctx context.Context, key string) (store.Row, error) {
	if t.unavailable.Load() {
		return store.Row{}, fmt.Errorf("%w: test", store.ErrUnavailable)
	}
	return t.Table.Get(ctx, key)
}

func (t *faultyTable) List(ctx context.Context, prefix, from string, limit int) (store.Page, error) {
	if t.unavailable.Load() {
		return store.Page{}, fmt.Errorf("%w: test", store.ErrUnavailable)
	}
	return t.Table.List(ctx, prefix, from, limit)
}

func (t *faultyTable) Commit(ctx context.Context, txn store.Txn) ([]int64, error) {
	if t.unavailable.Load() {
		return nil, fmt.Errorf("%w: test", store.ErrUnavailable)
	}
	versions, err := t.Table.Commit(ctx, txn)
	if strings.HasPrefix(txn.Writes[0].Key, wire.SidecarRowPrefix) && t.loseReply.Swap(false) {
		t.replyLost.Store(true)
		return nil, fmt.Errorf("%w: test", store.ErrUnknownOutcome)
	}
	return versions, err
}
