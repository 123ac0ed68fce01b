package heldjob

import (
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/work"
)

// TestJobTasksKeepStateOfActiveTasksOnly guards against state of a task that is done, and
// against a task that is done and found unfinished.
func TestJobTasksKeepStateOfActiveTasksOnly(t *testing.T) {
	steps := []work.Step{{Count: 70}, {Count: 2}}
	tasks := jobTasks{}
	tasks.keep(newTask("j", 1, 1))
	tasks.keep(newTask("j", 0, 69))
	tasks.keep(newTask("j", 0, 3))
	must.Len(t, 3, tasks.states)
	must.EqOp(t, 69, tasks.find(0, 69).key.Index)
	must.Nil(t, tasks.find(0, 4))

	tasks.recordDone(steps, 0, 3)
	tasks.recordDone(steps, 0, 64)
	must.Len(t, 2, tasks.states)
	must.True(t, tasks.isDone(0, 3))
	must.False(t, tasks.isDone(1, 0))

	var left []int
	for index, state := range tasks.unfinished(steps, 0) {
		left = append(left, index)
		must.EqOp(t, index == 69, state != nil)
	}
	must.Len(t, 68, left)
	must.False(t, slices.Contains(left, 3))
	must.False(t, slices.Contains(left, 64))
}
