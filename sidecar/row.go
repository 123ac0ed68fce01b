package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/figring/figring/store"
	"github.com/figring/figring/wire"
)

// RowPrefix starts the key of every sidecar's row.
const RowPrefix = "sidecars/"

// Row is what a sidecar writes about itself into the table. A row stays when
// its sidecar ends, so that a later incarnation is never taken for the first.
type Row struct {
	Target wire.Target
	// Started is the start of this incarnation in Unix milliseconds.
	Started int64
	// First is true when no incarnation ran under the name before.
	First bool
	// Left is true after an ordered stop.
	Left bool
	// LeftAt is the time of that stop in Unix milliseconds.
	LeftAt int64
	// ResultsBehind is true when calls were open at the ordered stop, so that
	// the results of their tasks are lost with the process.
	ResultsBehind bool
}

// RowKey returns the key of the row of the sidecar called name.
func RowKey(name string) string { return RowPrefix + name }

// rowWriter writes this sidecar's row.
type rowWriter struct {
	table store.Table
	row   Row
}

// register writes the row once and keeps trying until ctx ends. A write whose
// outcome is unknown is settled by reading: the row carries the incarnation.
func (w *rowWriter) register(ctx context.Context) error {
	retry := newBackoff(rowRetryFirst, rowRetryLast)
	for {
		if w.tryRegister(ctx) == nil {
			return nil
		}
		if err := retry.wait(ctx); err != nil {
			return err
		}
	}
}

func (w *rowWriter) tryRegister(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	held, err := w.table.Get(ctx, RowKey(w.row.Target.Sidecar))
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return Error.Wrap(err)
	}
	if err == nil && w.own(held) {
		return nil
	}
	row := w.row
	row.First = err != nil
	if err := w.commit(ctx, row, held.Version); err != nil {
		return err
	}
	w.row = row
	return nil
}

// own reports whether the row is this incarnation's, and takes First from it.
func (w *rowWriter) own(held store.Row) bool {
	var row Row
	if json.Unmarshal(held.Value, &row) != nil {
		return false
	}
	if row.Target.Incarnation != w.row.Target.Incarnation {
		return false
	}
	w.row.First = row.First
	return true
}

// leave marks the row. It does nothing when the row is another incarnation's.
func (w *rowWriter) leave(ctx context.Context, resultsBehind bool) error {
	retry := newBackoff(rowRetryFirst, rowRetryLast)
	for {
		err := w.tryLeave(ctx, resultsBehind)
		if err == nil {
			return nil
		}
		if retry.wait(ctx) != nil {
			return err
		}
	}
}

func (w *rowWriter) tryLeave(ctx context.Context, resultsBehind bool) error {
	held, err := w.table.Get(ctx, RowKey(w.row.Target.Sidecar))
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return Error.Wrap(err)
	}
	if !w.own(held) {
		return nil
	}
	row := w.row
	row.Target.State = wire.TargetDraining
	row.Left = true
	row.LeftAt = time.Now().UnixMilli()
	row.ResultsBehind = resultsBehind
	return w.commit(ctx, row, held.Version)
}

func (w *rowWriter) commit(ctx context.Context, row Row, version int64) error {
	value, err := json.Marshal(row)
	if err != nil {
		return Error.Wrap(err)
	}
	key := RowKey(row.Target.Sidecar)
	_, err = w.table.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: key, Version: version}},
		Writes:     []store.Write{{Key: key, Value: value}},
	})
	return Error.Wrap(err)
}

// The times of the row's reads and writes.
const (
	rowTimeout    = 2 * time.Second
	rowRetryFirst = 50 * time.Millisecond
	rowRetryLast  = 2 * time.Second
)
