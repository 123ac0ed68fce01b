package fault

import (
	"context"

	"github.com/figring/figring/store"
)

// Table wraps a store.Table and injects the faults of an Injector.
type Table struct {
	inner    store.Table
	injector *Injector
}

var _ store.Table = (*Table)(nil)

// NewTable returns a table that wraps inner and injects the faults of injector.
func NewTable(inner store.Table, injector *Injector) *Table {
	return &Table{inner: inner, injector: injector}
}

// Get implements store.Table.
func (t *Table) Get(ctx context.Context, key string) (store.Row, error) {
	var row store.Row
	err := t.injector.read(ctx, func() (err error) {
		row, err = t.inner.Get(context.WithoutCancel(ctx), key)
		return err
	})
	if err != nil {
		return store.Row{}, err
	}
	return row, nil
}

// List implements store.Table.
func (t *Table) List(ctx context.Context, prefix, from string, limit int) (store.Page, error) {
	var page store.Page
	err := t.injector.read(ctx, func() (err error) {
		page, err = t.inner.List(context.WithoutCancel(ctx), prefix, from, limit)
		return err
	})
	if err != nil {
		return store.Page{}, err
	}
	return page, nil
}

// Commit implements store.Table.
func (t *Table) Commit(ctx context.Context, txn store.Txn) ([]int64, error) {
	var versions []int64
	err := t.injector.write(ctx, func() (err error) {
		versions, err = t.inner.Commit(context.WithoutCancel(ctx), txn)
		return err
	})
	if err != nil {
		return nil, err
	}
	return versions, nil
}
