package request

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figring/figring/decision/jobstate"
	"github.com/figring/figring/model"
)

// Request is the state of one request. It is not safe for concurrent use.
type Request struct {
	config          Config
	dispatchPending bool
	begun           bool
	ended           bool
	dispatches      []dispatch
	stats           Stats
	// failureCode and failureDetail describe the latest dispatch that failed
	// or ended with an unknown outcome.
	failureCode   model.Code
	failureDetail string
}

// New returns a Request. Although such a request has no claim, it starts with
// the event jobstate.Claimed, like a job.
func New(config Config) *Request {
	return &Request{config: config}
}

// Deadline returns the time at which jobstate.DeadlinePassed is due.
func (r *Request) Deadline() time.Time { return r.config.Deadline }

// Stats returns the counts so far.
func (r *Request) Stats() Stats { return r.stats }

// Attempt returns the attempt number of the next dispatch, or false if the
// request must not be dispatched now.
func (r *Request) Attempt(index int) (int, bool) {
	if index != 0 || !r.dispatchPending || r.ended {
		return 0, false
	}
	return len(r.dispatches) + 1, true
}

// Hedge reports whether a second dispatch may be sent now while the first is
// open. If so, it charges the hedge to the budget and Attempt allows the
// dispatch.
func (r *Request) Hedge(now time.Time) bool {
	if !r.mayHedge(now) {
		return false
	}
	if !r.config.Budget.Retry(now) {
		r.stats.Refused++
		return false
	}
	r.stats.Hedges++
	r.dispatchPending = true
	return true
}

func (r *Request) mayHedge(now time.Time) bool {
	return !r.ended && !r.dispatchPending && len(r.openPlacements()) == 1 && r.mayRunAgain(now)
}

// mayRunAgain reports whether the limits other than the budget allow another
// run.
func (r *Request) mayRunAgain(now time.Time) bool {
	runs := 0
	for i := range r.dispatches {
		if r.dispatches[i].outcome != model.NotRun {
			runs++
		}
	}
	return runs < r.config.MaxRuns && len(r.dispatches) < r.config.MaxAttempts && now.Before(r.config.Deadline)
}

// Apply processes an event and returns the actions to perform, in order.
func (r *Request) Apply(event jobstate.Event, now time.Time) []jobstate.Action {
	if r.ended {
		return r.ignore()
	}
	switch e := event.(type) {
	case jobstate.Claimed:
		return r.begin()
	case jobstate.Dispatched:
		return r.applyDispatched(e)
	case jobstate.HandedBack:
		return r.applyHandedBack(e, now)
	case jobstate.Done:
		return r.applyDone(e, now)
	case jobstate.Unknown:
		return r.applyUnknown(e, now)
	case jobstate.Cancel:
		return r.fail(model.CodeCancelled, "cancelled by the caller")
	case jobstate.DeadlinePassed:
		return r.failDeadline()
	}
	return r.ignore()
}

func (r *Request) begin() []jobstate.Action {
	if r.begun {
		return r.ignore()
	}
	r.begun = true
	return r.requestDispatch()
}

// requestDispatch allows one dispatch and returns the action that asks for it.
func (r *Request) requestDispatch() []jobstate.Action {
	r.dispatchPending = true
	return []jobstate.Action{jobstate.Dispatch{Indexes: []int{0}}}
}

func (r *Request) applyDispatched(e jobstate.Dispatched) []jobstate.Action {
	next, ok := r.Attempt(e.Index)
	if !ok || next != e.Attempt {
		return r.ignore()
	}
	r.dispatchPending = false
	r.dispatches = append(r.dispatches, dispatch{sidecar: e.Sidecar, open: true, outcome: model.Unknown})
	return nil
}

// applyHandedBack handles a dispatch that is proved not to have started. It is
// replaced only if no other dispatch is open or about to be sent.
func (r *Request) applyHandedBack(e jobstate.HandedBack, now time.Time) []jobstate.Action {
	d := r.openDispatch(e.Ref, e.Attempt)
	if d == nil {
		return r.ignore()
	}
	d.end(model.NotRun)
	if r.inProgress() {
		return nil
	}
	if !now.Before(r.config.Deadline) {
		return r.failDeadline()
	}
	if len(r.dispatches) >= r.config.MaxAttempts {
		return r.fail(model.CodeNoCapacity, fmt.Sprintf("the request was handed back, last: %s", e.Reason))
	}
	return r.requestDispatch()
}

func (r *Request) applyDone(e jobstate.Done, now time.Time) []jobstate.Action {
	d := r.openDispatch(e.Ref, e.Attempt)
	if d == nil {
		return r.ignore()
	}
	if e.Result.Index != 0 || xxhash.Sum64(e.Result.Body) != e.Result.Digest {
		r.stats.Mismatched++
		d.end(model.Unknown)
		return r.retryOrFail(model.CodeTaskUnknown, "the answer was not whole", now)
	}
	d.end(model.Run)
	failure := fmt.Sprintf("the request ended with status %d", e.Result.Status)
	switch {
	case e.Result.Status < http.StatusBadRequest:
		return r.complete(e.Result)
	case e.Result.Status < http.StatusInternalServerError:
		return r.fail(model.CodeTaskFailed, failure)
	default:
		return r.retryOrFail(model.CodeTaskFailed, failure, now)
	}
}

func (r *Request) applyUnknown(e jobstate.Unknown, now time.Time) []jobstate.Action {
	d := r.openDispatch(e.Ref, e.Attempt)
	if d == nil {
		return r.ignore()
	}
	d.end(model.Unknown)
	return r.retryOrFail(model.CodeTaskUnknown, "it is not known how the request ended", now)
}

// retryOrFail handles a dispatch that failed or ended with an unknown outcome:
// it retries the request or, if that is not allowed, fails it with the given
// code. It does neither while another dispatch may still succeed.
func (r *Request) retryOrFail(code model.Code, detail string, now time.Time) []jobstate.Action {
	r.failureCode, r.failureDetail = code, detail
	if r.inProgress() {
		return nil
	}
	if !r.mayRunAgain(now) {
		return r.fail(code, detail)
	}
	if !r.config.Budget.Retry(now) {
		r.stats.Refused++
		return r.fail(code, detail+"; the budget allows no further attempt now")
	}
	r.stats.Retries++
	return r.requestDispatch()
}

// inProgress reports whether a dispatch is open or about to be sent.
func (r *Request) inProgress() bool {
	return r.dispatchPending || len(r.openPlacements()) > 0
}

// openDispatch returns the given dispatch if it is open, else nil.
func (r *Request) openDispatch(ref model.TaskRef, attempt int) *dispatch {
	if ref.Key != r.config.Key || ref.Index != 0 || attempt < 1 || attempt > len(r.dispatches) {
		return nil
	}
	d := &r.dispatches[attempt-1]
	if !d.open {
		return nil
	}
	return d
}

func (r *Request) ignore() []jobstate.Action {
	r.stats.Ignored++
	return nil
}

func (r *Request) complete(result model.TaskResult) []jobstate.Action {
	r.ended = true
	others := r.openPlacements()
	r.stats.Wasted += len(others)
	answer := model.Answer{
		Key:     r.config.Key,
		State:   model.Complete,
		Results: []model.TaskResult{result},
		Outcome: model.Run,
	}
	return append(withdrawActions(others), jobstate.Finish{Answer: answer})
}

func (r *Request) failDeadline() []jobstate.Action {
	detail := "the request's timeout passed"
	if r.failureCode != "" {
		detail += "; before, " + r.failureDetail
	}
	return r.fail(model.CodeDeadline, detail)
}

func (r *Request) fail(code model.Code, detail string) []jobstate.Action {
	r.ended = true
	answer := model.Answer{
		Key:     r.config.Key,
		State:   model.Failed,
		Outcome: r.outcome(),
		Code:    code,
		Detail:  detail,
	}
	return append(withdrawActions(r.openPlacements()), jobstate.Finish{Answer: answer})
}

// outcome returns whether the request was run, as far as known.
func (r *Request) outcome() model.Outcome {
	outcome := model.NotRun
	for i := range r.dispatches {
		outcome = outcome.Join(r.dispatches[i].outcome)
	}
	return outcome
}

// openPlacements returns the dispatches in progress.
func (r *Request) openPlacements() []jobstate.Placement {
	var list []jobstate.Placement
	for i := range r.dispatches {
		if d := &r.dispatches[i]; d.open {
			list = append(list, jobstate.Placement{Attempt: i + 1, Sidecar: d.sidecar})
		}
	}
	return list
}

func withdrawActions(list []jobstate.Placement) []jobstate.Action {
	if len(list) == 0 {
		return nil
	}
	return []jobstate.Action{jobstate.Withdraw{Tasks: list}}
}

func (d *dispatch) end(outcome model.Outcome) {
	d.open = false
	d.outcome = outcome
}
