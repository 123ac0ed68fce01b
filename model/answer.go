package model

import "time"

// State is the terminal state of a job.
type State string

const (
	// Complete means that every task has a result in the answer.
	Complete State = "complete"
	// Failed means that the job ended without a complete set of results.
	Failed State = "failed"
)

// TaskResult is what a minion returned for one task.
type TaskResult struct {
	Index int
	// Status is the status code that the minion returned: 200 is success.
	Status int
	Body   []byte
	// Digest is the 64-bit xxHash of Body, set by the sidecar.
	Digest uint64
	// RunTime is the time from start to end at the minion.
	RunTime time.Duration
	// Worker names the machine that ran the task.
	Worker string
}

// Answer is the terminal answer to a job. Results is empty unless State is
// Complete; it then has one result for each task, ordered by index.
type Answer struct {
	Key     JobKey
	State   State
	Results []TaskResult
	// Outcome, Code and Detail explain a failed job.
	Outcome Outcome
	Code    Code
	Detail  string
}
