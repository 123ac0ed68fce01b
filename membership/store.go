package membership

import (
	"context"
	"errors"

	"github.com/figring/figring/store"
)

func (m *Manager) get(ctx context.Context, key string) (store.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return m.opts.Table.Get(ctx, key)
}

func (m *Manager) commit(ctx context.Context, txn store.Txn) ([]int64, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return m.opts.Table.Commit(ctx, txn)
}

// list reads all rows with the prefix.
func (m *Manager) list(ctx context.Context, prefix string) ([]store.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var rows []store.Row
	from := prefix
	for from != "" {
		page, err := m.opts.Table.List(ctx, prefix, from, listRows)
		if err != nil {
			return nil, err
		}
		rows = append(rows, page.Rows...)
		from = page.Next
	}
	return rows, nil
}

// knownNotApplied reports whether a failed commit is known to have changed nothing, and
// can no longer take effect.
func knownNotApplied(err error) bool {
	return errors.Is(err, store.ErrUnavailable) ||
		errors.Is(err, store.ErrConflict) ||
		errors.Is(err, store.ErrInvalid)
}
