package memory

import (
	"bytes"
	"context"
	"fmt"
	"sync"

	"github.com/figring/figring/store"
)

// Table implements store.Table. Versions are drawn from one counter for the
// whole table, so that they also grow when a row is deleted and written again.
type Table struct {
	mu       sync.RWMutex
	rows     map[string]store.Row
	keys     names
	revision int64
}

var _ store.Table = (*Table)(nil)

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: make(map[string]store.Row)}
}

// Get implements store.Table.
func (t *Table) Get(ctx context.Context, key string) (store.Row, error) {
	if err := ctx.Err(); err != nil {
		return store.Row{}, err
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	row, ok := t.rows[key]
	if !ok {
		return store.Row{}, fmt.Errorf("row %q: %w", key, store.ErrNotFound)
	}
	return copyRow(row), nil
}

// List implements store.Table.
func (t *Table) List(ctx context.Context, prefix, from string, limit int) (store.Page, error) {
	if err := ctx.Err(); err != nil {
		return store.Page{}, err
	}
	if err := store.CheckUTF8(prefix, from); err != nil {
		return store.Page{}, err
	}
	if limit < 1 {
		return store.Page{}, fmt.Errorf("limit %d: %w", limit, store.ErrInvalid)
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	keys, next := t.keys.page(prefix, from, limit)
	page := store.Page{Next: next}
	for _, key := range keys {
		page.Rows = append(page.Rows, copyRow(t.rows[key]))
	}
	return page, nil
}

// Commit implements store.Table.
func (t *Table) Commit(ctx context.Context, txn store.Txn) ([]int64, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if err := txn.Validate(); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.check(txn.Conditions); err != nil {
		return nil, err
	}
	return t.apply(txn.Writes), nil
}

func (t *Table) check(conditions []store.Condition) error {
	for _, condition := range conditions {
		// The zero row of an absent key has version 0.
		found := t.rows[condition.Key].Version
		if found != condition.Version {
			return fmt.Errorf("row %q has version %d, want %d: %w",
				condition.Key, found, condition.Version, store.ErrConflict)
		}
	}
	return nil
}

func (t *Table) apply(writes []store.Write) []int64 {
	versions := make([]int64, 0, len(writes))
	for _, write := range writes {
		if write.Delete {
			delete(t.rows, write.Key)
			t.keys.remove(write.Key)
			versions = append(versions, 0)
			continue
		}
		t.revision++
		t.rows[write.Key] = store.Row{Key: write.Key, Value: bytes.Clone(write.Value), Version: t.revision}
		t.keys.add(write.Key)
		versions = append(versions, t.revision)
	}
	return versions
}

func copyRow(row store.Row) store.Row {
	row.Value = bytes.Clone(row.Value)
	return row
}
