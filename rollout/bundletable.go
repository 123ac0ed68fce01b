package rollout

import (
	"context"
	"errors"
	"fmt"

	"github.com/figring/figring/decision/bundle"
	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
)

// bundleTable reads and decodes the rows of this package.
type bundleTable struct {
	table store.Table
}

// current returns the bundle in force and the version of its row. Both are zero if
// the row is absent.
func (s bundleTable) current(ctx context.Context) (model.Bundle, int64, error) {
	row, err := s.table.Get(ctx, CurrentKey)
	if errors.Is(err, store.ErrNotFound) {
		return model.Bundle{}, 0, nil
	}
	if err != nil {
		return model.Bundle{}, 0, readError(err)
	}
	decoded, err := decodeBundle(row.Value)
	return decoded, row.Version, err
}

// proposal returns the proposal with the given identifier and the version of its row.
func (s bundleTable) proposal(ctx context.Context, id string) (bundle.Proposal, int64, error) {
	row, err := s.table.Get(ctx, proposalKey(id))
	if err != nil {
		return bundle.Proposal{}, 0, readError(err)
	}
	decoded, err := decodeProposal(row.Value)
	return decoded, row.Version, err
}

// historyEntry returns the audit record of a version.
func (s bundleTable) historyEntry(ctx context.Context, version int64) (HistoryEntry, error) {
	row, err := s.table.Get(ctx, historyKey(version))
	if err != nil {
		return HistoryEntry{}, readError(err)
	}
	var decoded HistoryEntry
	err = decodeRow(row.Value, &decoded)
	return decoded, err
}

// readError converts an error of a read into an error of this package.
func readError(err error) error {
	if errors.Is(err, store.ErrNotFound) {
		return ErrNotFound
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}
