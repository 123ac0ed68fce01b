package fleet

import "time"

// Worker describes one worker with its minion and its sidecar.
type Worker struct {
	Zone string
	Rack string
	// Speed divides the run time of every task.
	Speed       float64
	Slots       int
	Connections int
	// Delay is the one-way delay of requests and answers.
	Delay time.Duration
	// FailEverything makes every task fail at once.
	FailEverything bool
}
