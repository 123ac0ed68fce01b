package session

import "github.com/figring/figring/work"

// AdoptRequest asks a sidecar for what it has of jobs whose owner is gone. It
// needs no session.
type AdoptRequest struct {
	// Sidecar is the name of the instance that is meant.
	Sidecar string
	// Owner and Boot name the life of the entry that owned the jobs.
	Owner, Boot string
	Jobs        []work.JobID
	// Force means that the owner was revoked long ago and may not start anything:
	// its runs are stopped though it lives.
	Force bool
	// Stored are tasks whose ends, told before, are stored by now.
	Stored []work.TaskKey
}

// AdoptReply tells what the sidecar has.
type AdoptReply struct {
	// OwnerAlive means that the owner lives: the sidecar hears from it.
	OwnerAlive bool
	// Busy means that runs of the jobs may still be at work. They are being
	// stopped.
	Busy bool
	// Incomplete means that the sidecar does not know its minion's lists now, as after
	// its start: there may be ends and runs that it does not tell.
	Incomplete bool
	// Ends are the ends of the jobs' tasks that may not be stored.
	Ends []TaskEnd
	// Checkpoints are the newest of the runs that may still be at work, and of
	// those that have ended lately.
	Checkpoints []TaskCheckpoint
}

// AddCheckpoint adds a task's checkpoint, if there is one.
func (r *AdoptReply) AddCheckpoint(task work.TaskKey, checkpoint work.Checkpoint) {
	if checkpoint != "" {
		r.Checkpoints = append(r.Checkpoints, TaskCheckpoint{Task: task, Checkpoint: checkpoint})
	}
}

// TaskCheckpoint is saved work of a task.
type TaskCheckpoint struct {
	Task       work.TaskKey
	Checkpoint work.Checkpoint
}

// TaskEnd is how a run of a task ended.
type TaskEnd struct {
	Task work.TaskKey
	End  work.End
}
