package runner

import (
	"context"
	"errors"
	"reflect"
	"sync"
	"time"

	"github.com/figring/figring/api"
	"github.com/figring/figring/client"
	"github.com/figring/figring/model"
)

// callSlack is how long a request may outlast the timeout of its job before it
// is abandoned.
const callSlack = 10 * time.Second

// play submits one job and runs its resubmission and cancellation, if any.
func (r *run) play(ctx context.Context, index int) {
	job := &r.jobs[index]
	late := time.Since(r.started) - job.At
	ctx, cancel := context.WithTimeout(ctx, r.options.Timeout+callSlack)
	defer cancel()
	body := newBody(job, r.options.Timeout)
	clients := r.clients[job.Caller]
	var first *api.JobResponse
	var firstErr error
	var background sync.WaitGroup
	background.Go(func() { r.cancel(ctx, index, body.Key) })
	second := r.resubmit(ctx, index, body)
	outcome := Outcome{Job: index, Key: body.Key, Caller: job.Caller, Class: job.Class(), SentLateNs: int64(late)}
	first, firstErr = r.submit(ctx, clients[index%len(clients)], body, &outcome)
	outcome.IntendedNs = int64(job.At)
	outcome.EndNs = int64(time.Since(r.started))
	outcome.Code, outcome.Result = codeOf(first, firstErr)
	r.result.ended(index, outcome)
	background.Wait()
	r.compare(first, firstErr, second)
}

// submit submits the job and, if Options.Retry is set, retries it when it is
// refused.
func (r *run) submit(ctx context.Context, at *client.Client, body *api.JobRequest, outcome *Outcome) (*api.JobResponse, error) {
	end := time.Now().Add(r.options.Timeout)
	for {
		outcome.Tries++
		sent := time.Now()
		time.Sleep(r.options.ClientDelay)
		answer, err := at.SubmitOnce(ctx, body)
		time.Sleep(r.options.ClientDelay)
		var problem *client.Problem
		if !errors.As(err, &problem) {
			return answer, err
		}
		outcome.Refused++
		if isOverload(problem.Code) {
			r.result.refused(time.Since(sent), problem.RetryAfterMs > 0)
		}
		wait := time.Duration(problem.RetryAfterMs) * time.Millisecond
		if !r.options.Retry || !problem.Retryable() || time.Now().Add(wait).After(end) || !sleep(ctx, wait) {
			return answer, err
		}
	}
}

// isOverload reports whether a job was refused because of overload, a quota or a
// lack of capacity.
func isOverload(code model.Code) bool {
	return code == model.CodeOverloaded || code == model.CodeQuota || code == model.CodeNoCapacity
}

// cancel cancels the job at the time given in the trace, if any.
func (r *run) cancel(ctx context.Context, index int, key string) {
	job := &r.jobs[index]
	if job.CancelAfter == 0 || !sleep(ctx, time.Until(r.started.Add(job.At+job.CancelAfter))) {
		return
	}
	clients := r.clients[job.Caller]
	_, _ = clients[(index+1)%len(clients)].Cancel(ctx, key)
}

// attempt is the result of a resubmission.
type attempt struct {
	answer *api.JobResponse
	err    error
}

// resubmit submits the job a second time, to the next entry and concurrently
// with the first submission. The returned channel receives the result; it is
// nil if the job has no resubmission.
func (r *run) resubmit(ctx context.Context, index int, body *api.JobRequest) <-chan attempt {
	job := &r.jobs[index]
	if job.ResubmitAfter == 0 {
		return nil
	}
	done := make(chan attempt, 1)
	go func() {
		if !sleep(ctx, time.Until(r.started.Add(job.At+job.ResubmitAfter))) {
			done <- attempt{err: client.ErrTransport}
			return
		}
		clients := r.clients[job.Caller]
		answer, err := clients[(index+1)%len(clients)].SubmitOnce(ctx, body)
		done <- attempt{answer, err}
	}()
	return done
}

// compare waits for the resubmission, records its code and counts a mismatch if
// both submissions got a response and the responses differ.
func (r *run) compare(first *api.JobResponse, firstErr error, second <-chan attempt) {
	if second == nil {
		return
	}
	got := <-second
	code, _ := codeOf(got.answer, got.err)
	both := firstErr == nil && got.err == nil
	r.result.resubmitted(code, !both || reflect.DeepEqual(first, got.answer))
}

// codeOf returns the code of a response or error and what is known about
// whether the job ran.
func codeOf(answer *api.JobResponse, err error) (string, model.Outcome) {
	var told *client.Problem
	switch {
	case errors.As(err, &told):
		return string(told.Code), told.Outcome
	case err != nil:
		return CodeLost, model.Unknown
	case answer.State == api.JobComplete:
		return CodeComplete, answer.Outcome
	default:
		return string(answer.Code), answer.Outcome
	}
}
