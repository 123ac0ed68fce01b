package membership

import (
	"context"
	"errors"

	"github.com/figring/figring/platform"
)

func (m *Manager) get(ctx context.Context, key string) (platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return m.opts.Table.Get(ctx, key)
}

func (m *Manager) commit(ctx context.Context, txn platform.Txn) ([]int64, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return m.opts.Table.Commit(ctx, txn)
}

// list reads all rows with the prefix.
func (m *Manager) list(ctx context.Context, prefix string) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var rows []platform.Row
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

// provesNoEffect reports whether a failed commit surely changed nothing and
// never will.
func provesNoEffect(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) ||
		errors.Is(err, platform.ErrConflict) ||
		errors.Is(err, platform.ErrInvalid)
}
