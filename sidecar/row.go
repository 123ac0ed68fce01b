package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/figring/figring/store"
	"github.com/figring/figring/wire"
)

// rowWriter writes the table row of this sidecar.
type rowWriter struct {
	table store.Table
	row   wire.SidecarRow
}

// register writes the row and retries until it succeeds or ctx ends. If the outcome
// of a write is unknown, the next attempt reads the row and compares its
// incarnation.
func (w *rowWriter) register(ctx context.Context) error {
	retry := newBackoff(rowRetryInitial, rowRetryMax)
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
	stored, err := w.table.Get(ctx, wire.SidecarRowKey(w.row.Target.Sidecar))
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return Error.Wrap(err)
	}
	if err == nil && w.loadOwn(stored) {
		return nil
	}
	row := w.row
	row.First = err != nil
	if err := w.commit(ctx, row, stored.Version); err != nil {
		return err
	}
	w.row = row
	return nil
}

// loadOwn reports whether the row was written by this incarnation and, if so, copies
// First from it.
func (w *rowWriter) loadOwn(stored store.Row) bool {
	var row wire.SidecarRow
	if json.Unmarshal(stored.Value, &row) != nil {
		return false
	}
	if row.Target.Incarnation != w.row.Target.Incarnation {
		return false
	}
	w.row.First = row.First
	return true
}

// markLeft marks the row as left and retries until it succeeds or ctx ends. It does
// nothing if the row is missing or was written by another incarnation.
func (w *rowWriter) markLeft(ctx context.Context, resultsLost bool) error {
	retry := newBackoff(rowRetryInitial, rowRetryMax)
	for {
		err := w.tryMarkLeft(ctx, resultsLost)
		if err == nil {
			return nil
		}
		if retry.wait(ctx) != nil {
			return err
		}
	}
}

func (w *rowWriter) tryMarkLeft(ctx context.Context, resultsLost bool) error {
	stored, err := w.table.Get(ctx, wire.SidecarRowKey(w.row.Target.Sidecar))
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return Error.Wrap(err)
	}
	if !w.loadOwn(stored) {
		return nil
	}
	row := w.row
	row.Target.State = wire.TargetDraining
	row.Left = true
	row.LeftAt = time.Now().UnixMilli()
	row.ResultsBehind = resultsLost
	return w.commit(ctx, row, stored.Version)
}

func (w *rowWriter) commit(ctx context.Context, row wire.SidecarRow, version int64) error {
	value, err := json.Marshal(row)
	if err != nil {
		return Error.Wrap(err)
	}
	key := wire.SidecarRowKey(row.Target.Sidecar)
	_, err = w.table.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: key, Version: version}},
		Writes:     []store.Write{{Key: key, Value: value}},
	})
	return Error.Wrap(err)
}

const (
	// rowTimeout bounds one registration attempt and one listing of session rows.
	rowTimeout = 2 * time.Second
	// rowRetryInitial and rowRetryMax bound the delay between attempts to write
	// the row.
	rowRetryInitial = 50 * time.Millisecond
	rowRetryMax     = 2 * time.Second
)
