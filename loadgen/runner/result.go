package runner

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Result is what a run measured.
type Result struct {
	// Started is the wall-clock time that the trace's times count from.
	Started time.Time
	// Elapsed is the time to the last answer.
	Elapsed time.Duration
	// Outcomes has one element for each job, in the order of the trace.
	Outcomes []Outcome
	// Responses holds the response times of complete jobs.
	Responses map[Series]*Histogram
	// Refusals holds the times from sending to being refused.
	Refusals *Histogram
	// WithoutRetryAfter counts refusals for load that named no time.
	WithoutRetryAfter int
	// Codes counts the final codes of the jobs.
	Codes map[string]int
	// Resubmits counts second submissions by code; Mismatches counts those
	// whose answer differed from the first one's.
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
// callers when it is empty.
func (r *Result) All(caller string) *Histogram {
	all := NewHistogram()
	for series, histogram := range r.Responses {
		if caller == "" || series.Caller == caller {
			all.Merge(histogram)
		}
	}
	return all
}

// Series returns the names of the histograms in order.
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
