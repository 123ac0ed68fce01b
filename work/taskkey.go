package work

// JobID identifies a job. The caller chooses it.
type JobID string

// TaskKey identifies a task of a job.
type TaskKey struct {
	Job JobID
	// Occurrence is the zero-based occurrence of a scheduled job; 0 for other jobs.
	Occurrence int
	Step       int
	Index      int
}
