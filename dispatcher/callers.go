package dispatcher

import (
	"context"
	"time"

	"github.com/figring/figring/common/eventlog"
	"github.com/figring/figring/decision/heldjob"
	"github.com/figring/figring/manifest"
)

// JobState is what a caller may learn of a job.
type JobState struct {
	// Open jobs have no answer yet; Begun ones have had a task started.
	Open, Begun bool
	// Answer is that of a job that has ended.
	Answer heldjob.Answer
}

// Snapshot returns the configuration in force.
func (d *Dispatcher) Snapshot() manifest.Snapshot { return d.deps.Holder.Newest() }

// Leaving reports whether callers should use other connections.
func (d *Dispatcher) Leaving() bool { return d.leaving.Load() }

// Submit hands a job in and waits for its answer. It reports false when ctx
// ended first; the job is withdrawn then.
func (d *Dispatcher) Submit(ctx context.Context, submission heldjob.Submission) (heldjob.Answer, bool) {
	began := time.Now()
	submission.Waiter = d.lastWaiter.Add(1)
	replies := make(chan heldjob.Reply, 1)
	d.loop.Post(func(now time.Time) {
		d.answers[submission.Waiter] = replies
		d.core.Submit(now, &submission)
	})
	select {
	case reply := <-replies:
		d.meters.answered(reply.Route, reply.Answer, time.Since(began))
		return reply.Answer, true
	case <-ctx.Done():
		d.loop.Post(func(time.Time) {
			delete(d.answers, submission.Waiter)
			d.core.CallerGone(submission.Job.ID, submission.Waiter)
		})
		return heldjob.Answer{}, false
	}
}

// CountMalformed counts a request that could not be read.
func (d *Dispatcher) CountMalformed(reason string) {
	d.meters.malformed.Inc(1)
	d.deps.Log.Routine(eventlog.KindMalformed).Str(eventlog.FieldReason, reason).Msg("")
}
