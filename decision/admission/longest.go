package admission

import (
	"math"
	"slices"
	"time"
)

const (
	// longestMemory is the number of ended tasks that an estimate looks back on.
	longestMemory = 512
	// longestReview is the number of new ones after which it is made anew.
	longestReview = 32
	// lateShare is the share of jobs that may take longer than estimated.
	lateShare = 0.05
	// longestFresh is how long an estimate is believed without a new time: a
	// caller whose tasks were slow once must not be refused for ever.
	longestFresh = 10 * time.Second
)

// longest estimates from the times that a caller's tasks took lately how long
// the longest of several will take. It is the order statistic of a sample of
// independent times: with the quantile 1-lateShare/n as the time, the longest
// of n is later with a probability of about lateShare.
type longest struct {
	latest []time.Duration
	next   int
	fresh  int
	// last is when the latest time was added.
	last time.Time
	// sorted is a sorted copy of what latest was at the last review.
	sorted []time.Duration
}

// add takes in the time from sending a task to its end.
func (l *longest) add(took time.Duration, now time.Time) {
	l.last = now
	if len(l.latest) < longestMemory {
		l.latest = append(l.latest, took)
	} else {
		l.latest[l.next] = took
		l.next = (l.next + 1) % longestMemory
	}
	l.fresh++
	if l.fresh >= longestReview {
		l.review()
	}
}

func (l *longest) review() {
	l.fresh = 0
	l.sorted = append(l.sorted[:0], l.latest...)
	slices.Sort(l.sorted)
}

// of returns the estimate for a number of tasks; zero while too little is
// known or nothing was added lately.
func (l *longest) of(tasks int, now time.Time) time.Duration {
	if len(l.sorted) == 0 || now.Sub(l.last) > longestFresh {
		return 0
	}
	quantile := 1 - lateShare/float64(tasks)
	at := int(math.Ceil(quantile*float64(len(l.sorted)))) - 1
	return l.sorted[min(max(at, 0), len(l.sorted)-1)]
}
