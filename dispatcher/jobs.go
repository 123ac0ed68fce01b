package dispatcher

import (
	"context"
	"time"

	"github.com/figring/figring/common/eventlog"
	"github.com/figring/figring/common/pause"
	"github.com/figring/figring/decision/heldjob"
	"github.com/figring/figring/jobstore"
	"github.com/figring/figring/session"
	"github.com/figring/figring/session/link"
	"github.com/figring/figring/work"
)

const (
	// entryTimeout bounds a call to another entry.
	entryTimeout = 300 * time.Millisecond
	// findTimeout bounds a read of a job's state from the job store.
	findTimeout = 1500 * time.Millisecond
	// notifyTimeout bounds the attempts to notify another entry that a job that it
	// owned has ended.
	notifyTimeout = 10 * time.Second
	// notifyInterval is the pause between two such attempts.
	notifyInterval = 200 * time.Millisecond
	// cancelTries bounds the attempts to cancel a job that changes in between.
	cancelTries = 20
)

// State returns the state of a job. If the job is not one of this entry, State
// reads it from the job store. Its errors are ErrNoJob and ErrUnavailable.
func (d *Dispatcher) State(ctx context.Context, id work.JobID) (JobState, error) {
	var state JobState
	known := false
	d.loop.Do(func(time.Time) { state.Answer, state.Begun, state.Open, known = d.core.State(id) })
	if known {
		return state, nil
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	stored, err := d.deps.Jobs.Find(ctx, id)
	switch {
	case err != nil:
		return JobState{}, ErrUnavailable
	case stored.End != nil:
		return JobState{Begun: true, Answer: heldjob.Answer{Outcome: outcomeOf(stored.End.Outcome)}}, nil
	case stored.Open != nil:
		return JobState{Open: true, Begun: d.begun(ctx, stored.Open)}, nil
	}
	return JobState{}, ErrNoJob
}

func outcomeOf(stored jobstore.Outcome) heldjob.Outcome {
	for outcome, name := range outcomes {
		if name == stored {
			return outcome
		}
	}
	return heldjob.Failed
}

// begun reports whether a task of a stored job has started: by the stored
// progress, and otherwise by asking the owner. Without an answer from the owner
// it returns false.
func (d *Dispatcher) begun(ctx context.Context, open *jobstore.OpenJob) bool {
	if open.Progress.Begun() {
		return true
	}
	owner, ok := d.deps.Directory.Get(open.Progress.Owner.Name)
	if !ok {
		return false
	}
	var reply session.JobReply
	if d.callEntry(ctx, owner, session.MethodJob, &session.JobRequest{Job: open.ID}, &reply) != nil {
		return false
	}
	return reply.Begun
}

func (d *Dispatcher) callEntry(ctx context.Context, entry session.Peer, method string, request, reply any) error {
	return link.CallOnce(ctx, entry.Address, d.settings.Secret, method, request, reply, entryTimeout)
}

// Cancel cancels a job of this or of any other entry. It returns ErrNoJob, or
// ErrUnavailable when the job may continue.
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
			return nil
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

// cancelStored cancels a stored job that another entry owns, and notifies that
// entry. It returns false when the stored job has changed since it was read.
func (d *Dispatcher) cancelStored(ctx context.Context, open *jobstore.OpenJob) (bool, error) {
	results := make(chan jobstore.WriteResult, 1)
	var by jobstore.Owner
	d.loop.Do(func(time.Time) { by = d.storedJobs.self() })
	ending := jobstore.JobEnd{Outcome: jobstore.Cancelled, By: by, At: time.Now()}
	change := jobstore.End(open.ID, open.Version, ending, func(result jobstore.WriteResult) { results <- result })
	if !d.storedJobs.writer.Enqueue(change) {
		return false, ErrUnavailable
	}
	select {
	case result := <-results:
		if result.Written {
			d.background.Go(func() { d.notifyOwner(open) })
			d.loop.Post(func(now time.Time) { d.storedJobs.endings = append(d.storedJobs.endings, endedJob{open.ID, now}) })
		}
		return result.Written, nil
	case <-ctx.Done():
		change.Abandon()
		return false, ErrUnavailable
	}
}

// notifyOwner tells the owner of a job that the job was ended. It repeats this
// until the owner has confirmed it, for at most notifyTimeout.
func (d *Dispatcher) notifyOwner(open *jobstore.OpenJob) {
	ctx, cancel := context.WithTimeout(d.tasksCtx, notifyTimeout)
	defer cancel()
	for ctx.Err() == nil {
		owner, ok := d.deps.Directory.Get(open.Progress.Owner.Name)
		if ok && d.callEntry(ctx, owner, session.MethodEnded, &session.EndedRequest{Job: open.ID}, &session.EndedReply{}) == nil {
			return
		}
		// For fails only when ctx ends, which the loop condition checks.
		_ = pause.For(ctx, notifyInterval)
	}
	d.deps.Log.Failure(eventlog.KindDependencyLost).Str(eventlog.FieldDependency, open.Progress.Owner.Name).
		Str(eventlog.FieldJob, string(open.ID)).Str(eventlog.FieldReason, "not told of the end").Msg("")
}

// StopOwning makes this entry start no more tasks of its stored jobs. Other
// entries continue them after Release.
func (d *Dispatcher) StopOwning() {
	d.releasing.Store(true)
	d.loop.Do(func(now time.Time) { d.core.SetOwnership(now, false) })
}

// Release allows other entries to take over the stored jobs of this one. It is
// called when the process is about to exit.
func (d *Dispatcher) Release(ctx context.Context) { d.storedJobs.leave(ctx) }
