package claims

import (
	"context"
	"fmt"
	"time"

	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
)

// Sweep deletes the rows that the entry wrote before the given time and returns
// the number of deleted rows. After an error, a later call deletes the remaining
// rows.
func Sweep(ctx context.Context, table store.Table, incarnation model.Incarnation, before time.Time) (int, error) {
	end := firstRowKey(incarnation, before)
	from := entryPrefix(incarnation)
	deleted := 0
	for from != "" && from < end {
		page, err := table.List(ctx, entryPrefix(incarnation), from, pageRows)
		if err != nil {
			return deleted, fmt.Errorf("%w: %w", ErrRead, err)
		}
		writes := deletions(page.Rows, end)
		if len(writes) == 0 {
			return deleted, nil
		}
		if _, err := table.Commit(ctx, store.Txn{Writes: writes}); err != nil {
			return deleted, fmt.Errorf("%w: %w", ErrRead, err)
		}
		deleted += len(writes)
		from = page.Next
	}
	return deleted, nil
}

// deletions returns a deletion for each row whose key is less than end.
func deletions(rows []store.Row, end string) []store.Write {
	var writes []store.Write
	for _, row := range rows {
		if row.Key < end {
			writes = append(writes, store.Write{Key: row.Key, Delete: true})
		}
	}
	return writes
}
