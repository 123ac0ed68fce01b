// Package queuedelay predicts how long a new job will wait for room from how long
// those waited that have just got it: the delay of the last customer to enter
// service (R. Ibrahim and W. Whitt, "Real-Time Delay Estimation Based on Delay
// History", Manufacturing & Service Operations Management 11, 2009).
//
// It is built for more work than there is room for, over seconds or for good, when
// jobs wait in the order of their priority and age. Jobs that no minion can run
// wait for ever and don't count.
package queuedelay

import "time"

// memory is how long a wait tells something about the next one.
const memory = time.Second

// Estimator keeps the newest wait of each priority. It is not safe for concurrent
// use.
type Estimator struct {
	newest map[int]sample
}

type sample struct {
	waited time.Duration
	at     time.Time
}

// New returns an estimator that knows of no waits.
func New() *Estimator {
	return &Estimator{newest: make(map[int]sample)}
}

// Entered takes note that a job of the priority has got its first room.
func (e *Estimator) Entered(now time.Time, priority int, waited time.Duration) {
	e.newest[priority] = sample{waited, now}
}

// Wait returns the expected wait of a new job: the longest newest one of its
// priority and of more urgent ones, of which 0 is the most; 0 when none was seen
// lately.
func (e *Estimator) Wait(now time.Time, priority int) time.Duration {
	longest := time.Duration(0)
	for other, newest := range e.newest {
		if other <= priority && now.Sub(newest.at) <= memory {
			longest = max(longest, newest.waited)
		}
	}
	return longest
}
