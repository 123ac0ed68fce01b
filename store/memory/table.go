package memory

import (
	"bytes"
	"context"
	"fmt"
	"sync"

	"github.com/figring/figring/store"
)

// Table implements store.Table. All rows take their versions from one counter,
// so that a row that is deleted and written again gets a higher version.
type Table struct {
	mu          sync.RWMutex
	rows        map[string]store.Row
	keys        sortedSet
	lastVersion int64
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
	if err := t.checkConditions(txn.Conditions); err != nil {
		return nil, err
	}
	return t.applyWrites(txn.Writes), nil
}

func (t *Table) checkConditions(conditions []store.Condition) error {
	for _, condition := range conditions {
		// An absent key yields the zero Row, whose version is 0.
		version := t.rows[condition.Key].Version
		if version != condition.Version {
			return fmt.Errorf("row %q has version %d, want %d: %w",
				condition.Key, version, condition.Version, store.ErrConflict)
		}
	}
	return nil
}

func (t *Table) applyWrites(writes []store.Write) []int64 {
	versions := make([]int64, 0, len(writes))
	for _, write := range writes {
		if write.Delete {
			delete(t.rows, write.Key)
			t.keys.remove(write.Key)
			versions = append(versions, 0)
			continue
		}
		t.lastVersion++
		t.rows[write.Key] = store.Row{Key: write.Key, Value: bytes.Clone(write.Value), Version: t.lastVersion}
		t.keys.add(write.Key)
		versions = append(versions, t.lastVersion)
	}
	return versions
}

func copyRow(row store.Row) store.Row {
	row.Value = bytes.Clone(row.Value)
	return row
}
