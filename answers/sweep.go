package answers

import (
	"context"
	"fmt"
	"time"

	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
)

// Sweep deletes the batches that an entry wrote before the given time and
// returns the number of deleted batches. It deletes each object before its index
// row: after an interruption the row remains, and the next sweep deletes both
// again.
func Sweep(ctx context.Context, table store.Table, objects store.Objects, writer model.Incarnation, before time.Time) (int, error) {
	end := firstBatchName(writer, before)
	deleted := 0
	for {
		page, err := table.List(ctx, entryPrefix(writer), "", pageRows)
		if err != nil {
			return deleted, fmt.Errorf("%w: %w", ErrRead, err)
		}
		var writes []store.Write
		for _, row := range page.Rows {
			if row.Key >= end {
				break
			}
			if err := objects.Delete(ctx, row.Key); err != nil {
				return deleted, fmt.Errorf("%w: %w", ErrRead, err)
			}
			writes = append(writes, store.Write{Key: row.Key, Delete: true})
		}
		if len(writes) == 0 {
			return deleted, nil
		}
		if _, err := table.Commit(ctx, store.Txn{Writes: writes}); err != nil {
			return deleted, fmt.Errorf("%w: %w", ErrRead, err)
		}
		deleted += len(writes)
	}
}
