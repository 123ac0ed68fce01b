package dispatcher

import (
	"context"
	"time"

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
)

// State returns the state of a job. If the job is not one of this entry, State
// reads it from the job store. Its errors are ErrNoJob and ErrUnavailable.
func (d *Dispatcher) State(ctx context.Context, id work.JobID) (JobState, error) {
	var state JobState
	known := false
	d.loop.Do(func(now time.Time) { state.Answer, state.Begun, state.Open, known = d.core.State(now, id) })
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

// StopOwning makes this entry start no more tasks of its stored jobs, and refuse new ones.
// Other entries continue them after Release.
func (d *Dispatcher) StopOwning() {
	d.releasing.Store(true)
	d.loop.Do(func(time.Time) {
		d.core.StopOwning()
		d.storedJobs.abandonAwaitingLease()
	})
}

// Release allows other entries to take over the stored jobs of this one. It is
// called when the process is about to exit.
func (d *Dispatcher) Release(ctx context.Context) { d.storedJobs.leave(ctx) }
