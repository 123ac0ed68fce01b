package trace

import "time"

// Job is one submission.
type Job struct {
	// At is the intended time of the submission, from the start of the run.
	At         time.Duration
	Caller     string
	Idempotent bool
	Tasks      []Task
	// ResubmitAfter is the time from At to a second submission at another
	// entry, with the same key; zero means none.
	ResubmitAfter time.Duration
	// CancelAfter is the time from At to the cancellation; zero means none.
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

// Class returns the class that the job is reported under: that of its first
// task.
func (j *Job) Class() string { return j.Tasks[0].Class }
