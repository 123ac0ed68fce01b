package rollout

import (
	"context"
	"fmt"

	"github.com/figring/figring/decision/bundle"
)

// MaxPageSize is the maximum number of rows of one listing.
const MaxPageSize = 200

// Proposal returns the proposal with the given identifier, or ErrNotFound.
func (e *Editor) Proposal(ctx context.Context, id string) (bundle.Proposal, error) {
	proposal, _, err := e.store.proposal(ctx, id)
	return proposal, err
}

// ListProposals returns at most limit proposals in order of identifier, starting with
// the first identifier that is not less than from.
func (e *Editor) ListProposals(ctx context.Context, from string, limit int) ([]bundle.Proposal, error) {
	page, err := e.store.table.List(ctx, proposalPrefix, proposalKey(from), pageSize(limit))
	if err != nil {
		return nil, readError(err)
	}
	proposals := make([]bundle.Proposal, 0, len(page.Rows))
	for _, row := range page.Rows {
		decoded, err := decodeProposal(row.Value)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", row.Key, err)
		}
		proposals = append(proposals, decoded)
	}
	return proposals, nil
}

// History returns the audit records of at most limit versions in ascending order,
// starting with version from.
func (e *Editor) History(ctx context.Context, from int64, limit int) ([]HistoryEntry, error) {
	page, err := e.store.table.List(ctx, historyPrefix, historyKey(max(from, 0)), pageSize(limit))
	if err != nil {
		return nil, readError(err)
	}
	entries := make([]HistoryEntry, len(page.Rows))
	for i, row := range page.Rows {
		if err := decodeRow(row.Value, &entries[i]); err != nil {
			return nil, fmt.Errorf("%s: %w", row.Key, err)
		}
	}
	return entries, nil
}

func pageSize(limit int) int {
	if limit < 1 || limit > MaxPageSize {
		return MaxPageSize
	}
	return limit
}
