package rollout

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/figring/figring/common/pause"
	"github.com/figring/figring/store"
)

// outcomeRetryInterval is the pause between two attempts to determine the outcome of
// a write.
const outcomeRetryInterval = 100 * time.Millisecond

// attempt is one transaction together with the check of whether it took effect.
type attempt struct {
	id  string
	txn store.Txn
	// applied reads whether the table contains this attempt's own write.
	applied func(ctx context.Context) (bool, error)
}

// commit applies the transaction. After a lost reply it reads whether its own
// write took effect. If not, the write may still be in transit, so commit sends
// the same transaction again: its conditions let at most one of the two take effect,
// and a failed condition followed by a read proves the outcome. It returns nil if the
// write took effect, errConditionFailed or ErrUnavailable if nothing was written, and
// an UnknownOutcomeError if ctx ended before the outcome was known.
func (s bundleTable) commit(ctx context.Context, try attempt) error {
	_, err := s.table.Commit(ctx, try.txn)
	if !errors.Is(err, store.ErrUnknownOutcome) {
		return writeError(err)
	}
	for ctx.Err() == nil {
		if applied, readErr := try.applied(ctx); readErr == nil && applied {
			return nil
		}
		_, err = s.table.Commit(ctx, try.txn)
		if err == nil {
			return nil
		}
		if errors.Is(err, store.ErrConflict) {
			if applied, readErr := try.applied(ctx); readErr == nil {
				return outcomeError(applied)
			}
		}
		_ = pause.For(ctx, outcomeRetryInterval)
	}
	return &UnknownOutcomeError{Attempt: try.id, cause: errors.Join(err, ctx.Err())}
}

// outcomeError returns the result of an attempt whose outcome was read.
func outcomeError(applied bool) error {
	if applied {
		return nil
	}
	return errConditionFailed
}

// writeError converts the error of a write whose outcome is known.
func writeError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, store.ErrConflict):
		return errConditionFailed
	default:
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
}
