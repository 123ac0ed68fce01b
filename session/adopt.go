package session

import "github.com/figring/figring/work"

// AdoptRequest asks a sidecar for the runs and ends that it has of jobs whose
// owner is gone. It needs no session.
type AdoptRequest struct {
	// Sidecar is the name of the instance that the request is meant for.
	Sidecar string
	// Owner and Boot name the incarnation of the entry that owned the jobs.
	Owner, Boot string
	Jobs        []work.JobID
	// Force means that the owner was revoked long ago and may not start any task:
	// its runs are stopped even if its process is still alive.
	Force bool
	// StoredEnds are ends, reported by the sidecar before, that are in the job store by
	// now, though perhaps as those of other runs. The sidecar may drop them, old ones after a
	// lapse of the lease.
	StoredEnds []TaskEnd
	// ConfirmedEnds are those of the StoredEnds after which no run of their tasks was
	// started: the sidecar may drop them whatever their age.
	ConfirmedEnds []TaskEnd
	// SupersededEnds are ends whose tasks may have been started again since. The sidecar drops
	// them once the lease has lapsed.
	SupersededEnds []TaskEnd
	// UnknownEnds are ends of jobs that are not in the job store, as best-effort jobs are.
	// The sidecar may drop them.
	UnknownEnds []TaskEnd
	// Stored are the tasks of both, for builds without these.
	Stored []work.TaskKey
	// Adopter names the incarnation of the entry that asks in order to take over the
	// jobs. It is empty where another entry confirms that StoredEnds are in the job store.
	Adopter string
}

// SetReleased sets the ends that the sidecar may drop.
func (r *AdoptRequest) SetReleased(stored, unknown []TaskEnd) {
	r.StoredEnds, r.UnknownEnds = stored, unknown
	r.Stored = append(tasksOf(stored), tasksOf(unknown)...)
}

// AllUnknown returns the ends that may be dropped and of which it is not known that they are
// in the job store. Builds without StoredEnds name only tasks.
func (r *AdoptRequest) AllUnknown() []TaskEnd {
	if len(r.StoredEnds)+len(r.UnknownEnds) > 0 {
		return r.UnknownEnds
	}
	return endsOf(r.Stored)
}

// AdoptReply returns what the sidecar has of the jobs.
type AdoptReply struct {
	// OwnerAlive means that the sidecar still receives messages from the owner.
	OwnerAlive bool
	// Busy means that runs of the jobs may still be active. They are being
	// stopped.
	Busy bool
	// Incomplete means that the sidecar has no current listing of its minion, as
	// just after its start: the reply may lack ends and runs.
	Incomplete bool
	// Ends are the ends of the jobs' tasks that may not be in the job store yet.
	Ends []TaskEnd
	// Checkpoints are the newest ones of the runs that may still be active and of
	// those that have ended recently.
	Checkpoints []TaskCheckpoint
}

// AddCheckpoint adds a task's checkpoint unless it is empty.
func (r *AdoptReply) AddCheckpoint(task work.TaskKey, checkpoint work.Checkpoint) {
	if checkpoint != "" {
		r.Checkpoints = append(r.Checkpoints, TaskCheckpoint{Task: task, Checkpoint: checkpoint})
	}
}

// TaskCheckpoint is the saved progress of a task.
type TaskCheckpoint struct {
	Task       work.TaskKey
	Checkpoint work.Checkpoint
}

// TaskEnd says how a run of a task ended.
type TaskEnd struct {
	Task work.TaskKey
	End  work.End
	// Attempt is as in StartTask, for the run that ended. It tells whether a failed run
	// is counted already.
	Attempt int
	// Epoch is that of the order of the run; UnknownEpoch if it is not known.
	Epoch Epoch
}

// WithoutEpoch returns the end without its epoch, which a sidecar does not know of a run that an
// earlier process of it has started.
func (e TaskEnd) WithoutEpoch() TaskEnd {
	e.Epoch = UnknownEpoch
	return e
}

// tasksOf returns the tasks of the ends.
func tasksOf(ends []TaskEnd) []work.TaskKey {
	tasks := make([]work.TaskKey, 0, len(ends))
	for _, end := range ends {
		tasks = append(tasks, end.Task)
	}
	return tasks
}

// endsOf returns ends of which only the tasks are known.
func endsOf(tasks []work.TaskKey) []TaskEnd {
	ends := make([]TaskEnd, 0, len(tasks))
	for _, task := range tasks {
		ends = append(ends, TaskEnd{Task: task})
	}
	return ends
}
