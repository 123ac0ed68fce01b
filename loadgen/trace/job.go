package trace

import "time"

// Job is a job to submit, with its optional resubmission and cancellation.
type Job struct {
	// At is the intended submission time, relative to the start of the run.
	At         time.Duration
	Caller     string
	Idempotent bool
	Tasks      []Task
	// ResubmitAfter is the delay from At to a resubmission with the same key at
	// another entry; zero means none.
	ResubmitAfter time.Duration
	// CancelAfter is the delay from At to the cancellation; zero means none.
	CancelAfter time.Duration
}

// Work returns the sum of the tasks' true run times.
func (j *Job) Work() time.Duration {
	var sum time.Duration
	for _, task := range j.Tasks {
		sum += task.Run
	}
	return sum
}

// Class returns the class under which the job is reported: the class of its
// first task.
func (j *Job) Class() string { return j.Tasks[0].Class }
