package runner

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Result holds the measurements of a run.
type Result struct {
	// Started is the wall-clock start of the run, to which the times in the
	// trace are relative.
	Started time.Time
	// Elapsed is the time from Started to the last response.
	Elapsed time.Duration
	// Outcomes has one element for each job, in the order of the trace.
	Outcomes []Outcome
	// Responses holds the response times of complete jobs.
	Responses map[Series]*Histogram
	// Refusals holds the times from sending a request to receiving an overload
	// refusal.
	Refusals *Histogram
	// WithoutRetryAfter counts overload refusals without a retry delay.
	WithoutRetryAfter int
	// Codes counts the jobs by final code.
	Codes map[string]int
	// Resubmits counts resubmissions by code. Mismatches counts those whose
	// response differs from that of the first submission.
	Resubmits  map[string]int
	Mismatches int

	mu sync.Mutex
}

func newResult(jobs int) *Result {
	return &Result{
		Outcomes:  make([]Outcome, jobs),
		Responses: make(map[Series]*Histogram),
		Refusals:  NewHistogram(),
		Codes:     make(map[string]int),
		Resubmits: make(map[string]int),
	}
}

func (r *Result) ended(index int, outcome Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Outcomes[index] = outcome
	r.Codes[outcome.Code]++
	if !outcome.Complete() {
		return
	}
	series := Series{Caller: outcome.Caller, Class: outcome.Class}
	if r.Responses[series] == nil {
		r.Responses[series] = NewHistogram()
	}
	r.Responses[series].Record(outcome.Response())
}

func (r *Result) refused(after time.Duration, named bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Refusals.Record(after)
	if !named {
		r.WithoutRetryAfter++
	}
}

func (r *Result) resubmitted(code string, same bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Resubmits[code]++
	if !same {
		r.Mismatches++
	}
}

// All returns the response times of all complete jobs of a caller, or of all
// callers if caller is empty.
func (r *Result) All(caller string) *Histogram {
	all := NewHistogram()
	for series, histogram := range r.Responses {
		if caller == "" || series.Caller == caller {
			all.Merge(histogram)
		}
	}
	return all
}

// Series returns the keys of Responses, sorted by caller and class.
func (r *Result) Series() []Series {
	var names []Series
	for name := range r.Responses {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b Series) int {
		return cmp.Or(cmp.Compare(a.Caller, b.Caller), cmp.Compare(a.Class, b.Class))
	})
	return names
}
