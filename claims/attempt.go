package claims

import (
	"context"
	"errors"
	"fmt"

	"github.com/figring/figring/store"
)

// attempt is one row that the writer tries to write. The row has a key of its
// own that is used for nothing else, so writing it again is harmless.
type attempt struct {
	id  string
	txn store.Txn
}

// write performs the first attempt of a group's write. When its outcome stays
// unknown, finding out goes on beside the next writes.
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

// provesNotWritten reports whether the first attempt surely had no effect. A
// conflict is no such proof: the table may have applied the write and met its
// own row when the request was sent again below.
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

// resolve finds out what became of a write. Reading an absent row proves
// nothing while the first request may still be under way, so the same row is
// written again under the same conditions: whichever request comes first
// decides, and the other one meets its row.
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

// checkConflict reads the row after a condition failed. A row of this attempt
// was written. Without it the fence must be gone, and it never comes back, so
// that no request of this attempt can succeed any more.
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
		return true, fmt.Errorf("%w: row is taken by another attempt", ErrNotClaimed)
	}
	return true, nil
}

func (w *Writer) finishResolving(b *batch, err error) {
	w.opts.OnResolved(b.values(), err)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fenced = w.fenced || errors.Is(err, ErrFenced)
	w.unresolved--
	w.finishLocked(b, err)
}
