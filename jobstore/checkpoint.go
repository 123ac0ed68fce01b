package jobstore

import (
	"cmp"
	"maps"
	"slices"

	"github.com/figring/figring/work"
)

// TaskCheckpoint is the stored checkpoint of an unfinished task.
type TaskCheckpoint struct {
	Step  int             `json:"step"`
	Index int             `json:"index"`
	Value work.Checkpoint `json:"value"`
}

const (
	// maxCheckpointBytes bounds the size of all checkpoints in a row, whose limit
	// is 64 KiB. A task whose checkpoint is omitted starts over after a takeover.
	maxCheckpointBytes = 24 << 10
	// checkpointOverhead is the estimated encoded size of a checkpoint without its
	// value.
	checkpointOverhead = 48
)

// StoredCheckpoints returns the stored form of checkpoints, ordered by step and
// index. It omits the last ones when they exceed maxCheckpointBytes.
func StoredCheckpoints(checkpoints map[work.TaskKey]work.Checkpoint) []TaskCheckpoint {
	var stored []TaskCheckpoint
	size := 0
	for _, task := range slices.SortedFunc(maps.Keys(checkpoints), compareTasks) {
		size += checkpointOverhead + len(checkpoints[task])
		if size > maxCheckpointBytes {
			return stored
		}
		stored = append(stored, TaskCheckpoint{Step: task.Step, Index: task.Index, Value: checkpoints[task]})
	}
	return stored
}

func compareTasks(a, b work.TaskKey) int {
	return cmp.Or(cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

// CheckpointsByTask returns the stored checkpoints of the job, keyed by task.
func (p *Progress) CheckpointsByTask(id work.JobID) map[work.TaskKey]work.Checkpoint {
	byTask := make(map[work.TaskKey]work.Checkpoint, len(p.Checkpoints))
	for _, stored := range p.Checkpoints {
		byTask[work.TaskKey{Job: id, Step: stored.Step, Index: stored.Index}] = stored.Value
	}
	return byTask
}
