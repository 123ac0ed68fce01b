package claims

import (
	"context"
	"errors"
	"fmt"

	"github.com/figring/figring/store"
)

// attempt is the transaction that writes one batch as one row. No other
// transaction uses the key of the row, so that committing it again is harmless.
type attempt struct {
	id  string
	txn store.Txn
}

// write commits a batch once. When the outcome is unknown, it resolves the
// outcome in the background while later batches are written.
func (w *Writer) write(b *batch) {
	a, err := w.newAttempt(b.values())
	if err != nil {
		w.finish(b, fmt.Errorf("%w: %w", ErrNotClaimed, err))
		return
	}
	err = w.commit(a)
	switch {
	case err == nil:
		w.finish(b, nil)
	case provesNotWritten(err):
		w.finish(b, fmt.Errorf("%w: %w", ErrNotClaimed, err))
	default:
		w.startResolving(b, a, err)
	}
}

func (w *Writer) newAttempt(claims []Claim) (attempt, error) {
	id := w.opts.NewAttemptID()
	value, err := encode(id, claims)
	if err != nil {
		return attempt{}, err
	}
	w.mu.Lock()
	w.sequence++
	key := rowKey(w.self, w.opts.Now(), w.sequence)
	w.mu.Unlock()
	return attempt{id: id, txn: store.Txn{
		Conditions: []store.Condition{w.fence(), {Key: key}},
		Writes:     []store.Write{{Key: key, Value: value}},
	}}, nil
}

func (w *Writer) commit(a attempt) error {
	ctx, cancel := context.WithTimeout(w.ctx, w.opts.WriteTimeout)
	defer cancel()
	_, err := w.table.Commit(ctx, a.txn)
	return err
}

// provesNotWritten reports whether the error of the first commit proves that the
// commit had no effect. A conflict proves nothing: the client of the table may
// have resent a request that had already been applied, and the resent request
// then conflicts with the row that the first one wrote.
func provesNotWritten(err error) bool {
	if errors.Is(err, store.ErrUnknownOutcome) {
		return false
	}
	return errors.Is(err, store.ErrUnavailable) ||
		errors.Is(err, store.ErrInvalid) ||
		errors.Is(err, context.Canceled) ||
		errors.Is(err, context.DeadlineExceeded)
}

func (w *Writer) startResolving(b *batch, a attempt, err error) {
	w.mu.Lock()
	w.unresolved++
	w.mu.Unlock()
	go w.resolve(b, a, err)
}

// resolve determines the outcome of a write. Reading that the row is absent proves
// nothing while the first request may still be in flight. Instead resolve commits
// the same row again under the same conditions: the request that the table applies
// first succeeds, and the other one conflicts with its row.
func (w *Writer) resolve(b *batch, a attempt, err error) {
	for {
		if errors.Is(err, store.ErrConflict) {
			if known, outcome := w.checkConflict(a); known {
				w.finishResolving(b, outcome)
				return
			}
		}
		w.sleep(resolveInterval)
		if w.ctx.Err() != nil {
			w.finishResolving(b, fmt.Errorf("%w: writer is closed", ErrClaimUnknown))
			return
		}
		if err = w.commit(a); err == nil {
			w.finishResolving(b, nil)
			return
		}
	}
}

// checkConflict reads the row after a condition failed. It reports whether the row
// determines the outcome of the write, and that outcome. If the row is from this attempt, the
// write succeeded. If the row is absent, the failed condition was the fence. A
// deleted fence never reappears, so no request of this attempt can succeed later.
func (w *Writer) checkConflict(a attempt) (bool, error) {
	ctx, cancel := context.WithTimeout(w.ctx, w.opts.WriteTimeout)
	defer cancel()
	row, err := w.table.Get(ctx, a.txn.Writes[0].Key)
	if errors.Is(err, store.ErrNotFound) {
		return true, ErrFenced
	}
	if err != nil {
		return false, nil
	}
	id, _, err := decode(row.Value)
	if err != nil || id != a.id {
		return true, fmt.Errorf("%w: row was written by another attempt", ErrNotClaimed)
	}
	return true, nil
}

// finishResolving reports the outcome to Options.OnResolved before it wakes the
// callers of Append.
func (w *Writer) finishResolving(b *batch, err error) {
	w.opts.OnResolved(b.values(), err)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fenced = w.fenced || errors.Is(err, ErrFenced)
	w.unresolved--
	w.finishLocked(b, err)
}
