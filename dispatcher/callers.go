package dispatcher

import (
	"context"
	"time"

	"github.com/figring/figring/common/eventlog"
	"github.com/figring/figring/decision/heldjob"
	"github.com/figring/figring/manifest"
)

// JobState is the state of a job as callers see it.
type JobState struct {
	// Open means that the job has no answer yet, Begun that a task of it has
	// started.
	Open, Begun bool
	// Answer is the answer of a job that has ended.
	Answer heldjob.Answer
}

// Snapshot returns the newest known configuration.
func (d *Dispatcher) Snapshot() manifest.Snapshot { return d.deps.Holder.Newest() }

// Leaving reports whether callers should switch to connections to other entries.
func (d *Dispatcher) Leaving() bool { return d.leaving.Load() }

// Submit submits a job and waits for its answer. It returns false when ctx ends
// first; the submission is then withdrawn.
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

// Explain says what would become of the submission of a new job now, and changes nothing.
// It returns false if the dispatcher has stopped.
func (d *Dispatcher) Explain(submission heldjob.Submission) (heldjob.Explanation, bool) {
	var explained heldjob.Explanation
	ok := d.loop.Do(func(now time.Time) { explained = d.core.Explain(now, &submission) })
	return explained, ok
}

// CountMalformed counts and logs a request that could not be parsed.
func (d *Dispatcher) CountMalformed(reason string) {
	d.meters.malformed.Inc(1)
	d.deps.Log.Routine(eventlog.KindMalformed).Str(eventlog.FieldReason, reason).Msg("")
}
