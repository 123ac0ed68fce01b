// Package queuedelay predicts how long a new job will wait for capacity from the
// waits of the jobs that were placed last: the delay of the last customer to enter
// service (R. Ibrahim and W. Whitt, "Real-Time Delay Estimation Based on Delay
// History", Manufacturing & Service Operations Management 11, 2009).
//
// It is meant for overload, whether it lasts for seconds or is permanent, when
// jobs wait in the order of their priority and age. Jobs that no minion can run
// wait indefinitely and are not taken into account.
package queuedelay

import "time"

// maxSampleAge is how long a recorded wait is used to predict the next one.
const maxSampleAge = time.Second

// Estimator keeps the most recent wait of each priority. It is not safe for
// concurrent use.
type Estimator struct {
	latest map[int]sample
}

type sample struct {
	waited time.Duration
	at     time.Time
}

// New returns an estimator without recorded waits.
func New() *Estimator {
	return &Estimator{latest: make(map[int]sample)}
}

// RecordWait records how long a job of the priority waited until its first task
// was placed.
func (e *Estimator) RecordWait(now time.Time, priority int, waited time.Duration) {
	e.latest[priority] = sample{waited, now}
}

// ExpectedWait returns the expected wait of a new job: the longest of the most
// recent waits of its priority and of more urgent ones, or 0 without any that is
// recent enough. Priority 0 is the most urgent.
func (e *Estimator) ExpectedWait(now time.Time, priority int) time.Duration {
	longest := time.Duration(0)
	for recordedPriority, recorded := range e.latest {
		if recordedPriority <= priority && now.Sub(recorded.at) <= maxSampleAge {
			longest = max(longest, recorded.waited)
		}
	}
	return longest
}
