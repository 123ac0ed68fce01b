package answers

import (
	"context"
	"fmt"

	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
)

// pageRows is the maximum number of index rows in one read.
const pageRows = 500

// Find returns the answer that the given incarnation of an entry wrote for the
// key, or ErrNotFound. It starts at the index rows written model.KeySkew before
// the key's creation time, because the clock of a caller may be ahead by that
// much.
func Find(ctx context.Context, table store.Table, objects store.Objects, writer model.Incarnation, key model.JobKey) (*model.Answer, error) {
	from := firstBatchName(writer, key.Created().Add(-model.KeySkew))
	for from != "" {
		page, err := table.List(ctx, entryPrefix(writer), from, pageRows)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrRead, err)
		}
		for _, row := range page.Rows {
			if !indexContains(row.Value, key.Hash()) {
				continue
			}
			found, err := readBatch(ctx, objects, row.Key, key)
			if found != nil || err != nil {
				return found, err
			}
		}
		from = page.Next
	}
	return nil, ErrNotFound
}

// readBatch returns the answer of the key from one batch, or nil when the batch
// has none: the index row may list another key with the same hash.
func readBatch(ctx context.Context, objects store.Objects, name string, key model.JobKey) (*model.Answer, error) {
	body, err := objects.Get(ctx, name)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRead, err)
	}
	batch, err := decode(body)
	if err != nil {
		return nil, err
	}
	for _, answer := range batch {
		if answer.Key == key {
			return answer, nil
		}
	}
	return nil, nil
}
