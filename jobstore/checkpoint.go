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
	// maxCheckpointBytes bounds the size of all checkpoints in a row. A task whose
	// checkpoint is omitted starts over after a takeover.
	maxCheckpointBytes = 24 << 10
	// checkpointOverhead is the estimated encoded size of a checkpoint without its
	// value.
	checkpointOverhead = 48
)

// SetOptional sets what may be left out where the row has no room: the counts of crashes,
// which other entries learn from sidecars too, and then the checkpoints, ordered by step
// and index, as many as fit.
func (p *Progress) SetOptional(crashes TaskCounts, checkpoints map[work.TaskKey]work.Checkpoint, limits Limits) {
	p.Crashes, p.Checkpoints = crashes, nil
	if len(crashes) > 0 && len(encode(p)) > limits.valueBytes() {
		p.Crashes = nil
	}
	if len(checkpoints) == 0 {
		return
	}
	room := min(maxCheckpointBytes, limits.valueBytes()-len(encode(p)))
	for _, task := range slices.SortedFunc(maps.Keys(checkpoints), compareTasks) {
		room -= checkpointOverhead + len(checkpoints[task])
		if room < 0 {
			return
		}
		p.Checkpoints = append(p.Checkpoints, TaskCheckpoint{Step: task.Step, Index: task.Index, Value: checkpoints[task]})
	}
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
