package work

// JobID is the identity of a job, chosen by its caller.
type JobID string

// TaskKey names one task of a job.
type TaskKey struct {
	Job JobID
	// Occurrence counts the times of a scheduled job from 0; 0 for others.
	Occurrence int
	Step       int
	Index      int
}
