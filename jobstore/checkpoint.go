package jobstore

import (
	"cmp"
	"maps"
	"slices"

	"github.com/figring/figring/work"
)

// TaskCheckpoint is saved work of a task that is not done.
type TaskCheckpoint struct {
	Step  int             `json:"step"`
	Index int             `json:"index"`
	Value work.Checkpoint `json:"value"`
}

const (
	// maxCheckpointBytes bounds what the checkpoints take of a row, which may
	// have 64 KiB. A task whose checkpoint is left out starts over after a
	// takeover.
	maxCheckpointBytes = 24 << 10
	// checkpointOverhead is the size of an encoded checkpoint without its value.
	checkpointOverhead = 48
)

// StoredCheckpoints returns the checkpoints as they are stored, in the order of the
// tasks.
func StoredCheckpoints(saved map[work.TaskKey]work.Checkpoint) []TaskCheckpoint {
	var stored []TaskCheckpoint
	size := 0
	for _, task := range slices.SortedFunc(maps.Keys(saved), compareTasks) {
		size += checkpointOverhead + len(saved[task])
		if size > maxCheckpointBytes {
			return stored
		}
		stored = append(stored, TaskCheckpoint{Step: task.Step, Index: task.Index, Value: saved[task]})
	}
	return stored
}

func compareTasks(one, other work.TaskKey) int {
	return cmp.Or(cmp.Compare(one.Step, other.Step), cmp.Compare(one.Index, other.Index))
}

// CheckpointsByTask returns the stored checkpoints of the job by task.
func (p *Progress) CheckpointsByTask(id work.JobID) map[work.TaskKey]work.Checkpoint {
	saved := make(map[work.TaskKey]work.Checkpoint, len(p.Checkpoints))
	for _, one := range p.Checkpoints {
		saved[work.TaskKey{Job: id, Step: one.Step, Index: one.Index}] = one.Value
	}
	return saved
}
