package dispatcher

import (
	"context"
	"time"

	"github.com/figring/figring/decision/heldjob"
	"github.com/figring/figring/jobstore"
	"github.com/figring/figring/work"
)

// cancelTries bounds the attempts to cancel a job that changes in between.
const cancelTries = 20

// Cancel cancels a job of this or of any other entry. It returns nil only when the
// owner of the job starts nothing of it any more or is certain to learn of the end.
// Its errors are ErrNoJob, and ErrUnavailable when the job may continue.
func (d *Dispatcher) Cancel(ctx context.Context, id work.JobID) error {
	for range cancelTries {
		if ended, err := d.cancelOwn(ctx, id); ended || err != nil {
			return err
		}
		findCtx, cancel := context.WithTimeout(ctx, findTimeout)
		stored, err := d.deps.Jobs.Find(findCtx, id)
		cancel()
		switch {
		case err != nil:
			return ErrUnavailable
		case stored.End != nil:
			return d.awaitOwnerNotified(ctx, id, stored.End)
		case stored.Open == nil:
			return ErrNoJob
		}
		if ended, err := d.cancelStored(ctx, stored.Open); ended || err != nil {
			return err
		}
	}
	return ErrUnavailable
}

// cancelOwn cancels a job of this entry and reports whether the job is cancelled.
// It returns false when this entry does not have the job.
func (d *Dispatcher) cancelOwn(ctx context.Context, id work.JobID) (bool, error) {
	waiter := d.lastWaiter.Add(1)
	replies := make(chan heldjob.Reply, 1)
	cancelled, stored := false, false
	d.loop.Do(func(time.Time) {
		d.answers[waiter] = replies
		if stored = d.core.CancelStored(id, waiter); !stored {
			delete(d.answers, waiter)
			cancelled = d.core.Cancel(id)
		}
	})
	if !stored {
		return cancelled, nil
	}
	select {
	case reply := <-replies:
		return reply.Answer.Outcome == heldjob.Cancelled, nil
	case <-ctx.Done():
		d.loop.Post(func(time.Time) { delete(d.answers, waiter) })
		return false, ErrUnavailable
	}
}

// cancelStored cancels a stored job that another entry owns, and tells that entry. It
// returns false when the stored job has changed since it was read. The owner is told
// even if the client has left before the write succeeds.
func (d *Dispatcher) cancelStored(ctx context.Context, open *jobstore.OpenJob) (bool, error) {
	results := make(chan bool, 1)
	owner := open.Progress.Owner
	var by jobstore.Owner
	d.loop.Do(func(time.Time) { by = d.storedJobs.self() })
	ending := jobstore.JobEnd{Outcome: jobstore.Cancelled, By: by, At: time.Now(), Epoch: open.Progress.Epoch, Owner: &owner}
	change := jobstore.End(open.ID, open.Version, open.Progress.Parts, ending, func(result jobstore.WriteResult) {
		if !result.Written {
			results <- false
			return
		}
		d.loop.Post(func(now time.Time) { d.storedJobs.endings = append(d.storedJobs.endings, endedJob{open.ID, now}) })
		d.background.Go(func() {
			if d.notifyOwner(open.ID, owner) {
				results <- true
			}
		})
	})
	if !d.storedJobs.writer.Enqueue(change) {
		return false, ErrUnavailable
	}
	select {
	case written := <-results:
		return written, nil
	case <-ctx.Done():
		change.Abandon()
		return false, ErrUnavailable
	}
}

// awaitOwnerNotified returns nil once the owner of a job that has ended is told of it, for a
// repeated request. The entry that stored the end may be lost before it has told the
// owner.
func (d *Dispatcher) awaitOwnerNotified(ctx context.Context, id work.JobID, end *jobstore.JobEnd) error {
	if end.Owner == nil {
		return nil
	}
	notified := make(chan struct{})
	d.background.Go(func() {
		if d.notifyOwner(id, *end.Owner) {
			close(notified)
		}
	})
	select {
	case <-notified:
		return nil
	case <-ctx.Done():
		return ErrUnavailable
	}
}
