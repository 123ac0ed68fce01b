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
func (w *Writer) write(next *group) {
	one, err := w.newAttempt(next.values())
	if err != nil {
		w.finish(next, fmt.Errorf("%w: %w", ErrNotClaimed, err))
		return
	}
	err = w.commit(one)
	switch {
	case err == nil:
		w.finish(next, nil)
	case provesNothingSent(err):
		w.finish(next, fmt.Errorf("%w: %w", ErrNotClaimed, err))
	default:
		w.startResolving(next, one, err)
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

func (w *Writer) commit(one attempt) error {
	ctx, cancel := context.WithTimeout(w.ctx, w.opts.WriteTimeout)
	defer cancel()
	_, err := w.table.Commit(ctx, one.txn)
	return err
}

// provesNothingSent reports whether the first attempt surely had no effect. A
// conflict is no such proof: the table may have applied the write and met its
// own row when the request was sent again below.
func provesNothingSent(err error) bool {
	if errors.Is(err, store.ErrUnknownOutcome) {
		return false
	}
	return errors.Is(err, store.ErrUnavailable) ||
		errors.Is(err, store.ErrInvalid) ||
		errors.Is(err, context.Canceled) ||
		errors.Is(err, context.DeadlineExceeded)
}

func (w *Writer) startResolving(next *group, one attempt, err error) {
	w.mu.Lock()
	w.unresolved++
	w.mu.Unlock()
	go w.resolve(next, one, err)
}

// resolve finds out what became of a write. Reading an absent row proves
// nothing while the first request may still be under way, so the same row is
// written again under the same conditions: whichever request comes first
// decides, and the other one meets its row.
func (w *Writer) resolve(next *group, one attempt, err error) {
	for {
		if errors.Is(err, store.ErrConflict) {
			if known, outcome := w.judgeConflict(one); known {
				w.resolved(next, outcome)
				return
			}
		}
		w.sleep(resolveInterval)
		if w.ctx.Err() != nil {
			w.resolved(next, fmt.Errorf("%w: writer is closed", ErrClaimUnknown))
			return
		}
		if err = w.commit(one); err == nil {
			w.resolved(next, nil)
			return
		}
	}
}

// judgeConflict reads the row after a condition failed. A row of this attempt
// was written. Without it the fence must be gone, and it never comes back, so
// that no request of this attempt can succeed any more.
func (w *Writer) judgeConflict(one attempt) (bool, error) {
	ctx, cancel := context.WithTimeout(w.ctx, w.opts.WriteTimeout)
	defer cancel()
	row, err := w.table.Get(ctx, one.txn.Writes[0].Key)
	if errors.Is(err, store.ErrNotFound) {
		return true, ErrFenced
	}
	if err != nil {
		return false, nil
	}
	id, _, err := decode(row.Value)
	if err != nil || id != one.id {
		return true, fmt.Errorf("%w: row is taken by another attempt", ErrNotClaimed)
	}
	return true, nil
}

func (w *Writer) resolved(next *group, err error) {
	w.opts.OnResolved(next.values(), err)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fenced = w.fenced || errors.Is(err, ErrFenced)
	w.unresolved--
	w.finishLocked(next, err)
}
