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
	config     Config
	ready      bool
	begun      bool
	ended      bool
	dispatches []dispatch
	stats      Stats
	// code and detail say how the last dispatch with a bad end ended.
	code   model.Code
	detail string
}

// New returns a request that begins with jobstate.Claimed: it has no claim.
func New(config Config) *Request {
	return &Request{config: config}
}

// Deadline returns the time at which jobstate.DeadlinePassed is due.
func (r *Request) Deadline() time.Time { return r.config.Deadline }

// Stats returns the counts so far.
func (r *Request) Stats() Stats { return r.stats }

// Attempt returns the number to give to the next dispatch. It reports false
// when the request must not be dispatched now.
func (r *Request) Attempt(index int) (int, bool) {
	if index != 0 || !r.ready || r.ended {
		return 0, false
	}
	return len(r.dispatches) + 1, true
}

// Hedge reports whether a second dispatch may be made now beside the open one.
// It takes the hedge from the budget.
func (r *Request) Hedge(now time.Time) bool {
	if !r.hedgeable(now) {
		return false
	}
	if !r.config.Budget.Retry(now) {
		r.stats.Refused++
		return false
	}
	r.stats.Hedges++
	r.ready = true
	return true
}

func (r *Request) hedgeable(now time.Time) bool {
	return !r.ended && !r.ready && len(r.placements()) == 1 && r.mayRunAgain(now)
}

// mayRunAgain reports whether the bounds but for the budget allow a run more.
func (r *Request) mayRunAgain(now time.Time) bool {
	runs := 0
	for i := range r.dispatches {
		if r.dispatches[i].outcome != model.NotRun {
			runs++
		}
	}
	return runs < r.config.MaxRuns && len(r.dispatches) < r.config.MaxAttempts && now.Before(r.config.Deadline)
}

// Apply takes an event and returns what is to be done, in order.
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
	return r.again()
}

// again asks for one dispatch.
func (r *Request) again() []jobstate.Action {
	r.ready = true
	return []jobstate.Action{jobstate.Dispatch{Indexes: []int{0}}}
}

func (r *Request) applyDispatched(e jobstate.Dispatched) []jobstate.Action {
	next, ok := r.Attempt(e.Index)
	if !ok || next != e.Attempt {
		return r.ignore()
	}
	r.ready = false
	r.dispatches = append(r.dispatches, dispatch{sidecar: e.Sidecar, open: true, outcome: model.Unknown})
	return nil
}

// applyHandedBack takes the proof that a dispatch did not start. While another
// one is open or about to be sent, nothing takes its place.
func (r *Request) applyHandedBack(e jobstate.HandedBack, now time.Time) []jobstate.Action {
	handed := r.open(e.Ref, e.Attempt)
	if handed == nil {
		return r.ignore()
	}
	handed.end(model.NotRun)
	if r.inProgress() {
		return nil
	}
	if !now.Before(r.config.Deadline) {
		return r.failDeadline()
	}
	if len(r.dispatches) >= r.config.MaxAttempts {
		return r.fail(model.CodeNoCapacity, fmt.Sprintf("the request was handed back, last: %s", e.Reason))
	}
	return r.again()
}

func (r *Request) applyDone(e jobstate.Done, now time.Time) []jobstate.Action {
	ended := r.open(e.Ref, e.Attempt)
	if ended == nil {
		return r.ignore()
	}
	if e.Result.Index != 0 || xxhash.Sum64(e.Result.Body) != e.Result.Digest {
		r.stats.Mismatched++
		ended.end(model.Unknown)
		return r.repeat(model.CodeTaskUnknown, "the answer was not whole", now)
	}
	ended.end(model.Run)
	failure := fmt.Sprintf("the request ended with status %d", e.Result.Status)
	switch {
	case e.Result.Status < http.StatusBadRequest:
		return r.complete(e.Result)
	case e.Result.Status < http.StatusInternalServerError:
		return r.fail(model.CodeTaskFailed, failure)
	default:
		return r.repeat(model.CodeTaskFailed, failure, now)
	}
}

func (r *Request) applyUnknown(e jobstate.Unknown, now time.Time) []jobstate.Action {
	lost := r.open(e.Ref, e.Attempt)
	if lost == nil {
		return r.ignore()
	}
	lost.end(model.Unknown)
	return r.repeat(model.CodeTaskUnknown, "it is not known how the request ended", now)
}

// repeat dispatches the request once more after a bad end, or fails it with
// that end's code. Nothing is repeated while another dispatch may still answer.
func (r *Request) repeat(code model.Code, detail string, now time.Time) []jobstate.Action {
	r.code, r.detail = code, detail
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
	return r.again()
}

// inProgress reports whether a dispatch is open or about to be sent.
func (r *Request) inProgress() bool {
	return r.ready || len(r.placements()) > 0
}

// open returns the dispatch if it is in progress.
func (r *Request) open(ref model.TaskRef, attempt int) *dispatch {
	if ref.Key != r.config.Key || ref.Index != 0 || attempt < 1 || attempt > len(r.dispatches) {
		return nil
	}
	found := &r.dispatches[attempt-1]
	if !found.open {
		return nil
	}
	return found
}

func (r *Request) ignore() []jobstate.Action {
	r.stats.Ignored++
	return nil
}

func (r *Request) complete(result model.TaskResult) []jobstate.Action {
	r.ended = true
	others := r.placements()
	r.stats.Wasted += len(others)
	answer := model.Answer{
		Key:     r.config.Key,
		State:   model.Complete,
		Results: []model.TaskResult{result},
		Outcome: model.Run,
	}
	return append(withdrawn(others), jobstate.Finish{Answer: answer})
}

func (r *Request) failDeadline() []jobstate.Action {
	detail := "the request's timeout passed"
	if r.code != "" {
		detail += "; before, " + r.detail
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
	return append(withdrawn(r.placements()), jobstate.Finish{Answer: answer})
}

// outcome returns what is known about whether the request was run.
func (r *Request) outcome() model.Outcome {
	outcome := model.NotRun
	for i := range r.dispatches {
		outcome = outcome.Join(r.dispatches[i].outcome)
	}
	return outcome
}

// placements lists the dispatches in progress.
func (r *Request) placements() []jobstate.Placement {
	var list []jobstate.Placement
	for i := range r.dispatches {
		if one := &r.dispatches[i]; one.open {
			list = append(list, jobstate.Placement{Attempt: i + 1, Sidecar: one.sidecar})
		}
	}
	return list
}

func withdrawn(list []jobstate.Placement) []jobstate.Action {
	if len(list) == 0 {
		return nil
	}
	return []jobstate.Action{jobstate.Withdraw{Tasks: list}}
}

func (d *dispatch) end(outcome model.Outcome) {
	d.open = false
	d.outcome = outcome
}
