package heldjob

import (
	"iter"
	"slices"

	"github.com/figring/figring/work"
)

// jobTasks are the tasks of a job. A job may have thousands of tasks, and an entry many
// jobs that wait, so that a task of a stored job has state only from its first run until
// it is done. All tasks of a best-effort job, which doesn't wait for long, have state.
type jobTasks struct {
	// states are the tasks with state, in the order of their keys.
	states []*task
	// done are the tasks of each step that are done and have no state; nil if there are
	// none.
	done []taskSet
}

// newTask returns a task of which no run has been sent.
func newTask(job work.JobID, step, index int) *task {
	return &task{key: work.TaskKey{Job: job, Step: step, Index: index}, step: step}
}

// search returns the position of a task among those with state, and whether it has any.
func (t *jobTasks) search(step, index int) (int, bool) {
	return slices.BinarySearchFunc(t.states, work.TaskKey{Step: step, Index: index}, func(state *task, key work.TaskKey) int {
		if state.step != key.Step {
			return state.step - key.Step
		}
		return state.key.Index - key.Index
	})
}

// find returns the state of a task; nil if it has none.
func (t *jobTasks) find(step, index int) *task {
	if at, found := t.search(step, index); found {
		return t.states[at]
	}
	return nil
}

// keep adds the state of a task, unless the task has state.
func (t *jobTasks) keep(state *task) {
	if at, found := t.search(state.step, state.key.Index); !found {
		t.states = slices.Insert(t.states, at, state)
	}
}

// recordDone records that a task is done, and drops its state.
func (t *jobTasks) recordDone(steps []work.Step, step, index int) {
	if at, found := t.search(step, index); found {
		t.states = slices.Delete(t.states, at, at+1)
	}
	if t.done == nil {
		t.done = make([]taskSet, len(steps))
	}
	if t.done[step] == nil {
		t.done[step] = newTaskSet(steps[step].Count)
	}
	t.done[step].add(index)
}

// isDone reports whether a task is done and has no state.
func (t *jobTasks) isDone(step, index int) bool {
	return t.done != nil && t.done[step] != nil && t.done[step].has(index)
}

// unfinished returns the indexes of the tasks of a step that are not done, in order, each
// with its state, which is nil for a task without. The tasks must not change meanwhile.
func (t *jobTasks) unfinished(steps []work.Step, step int) iter.Seq2[int, *task] {
	return func(yield func(int, *task) bool) {
		at, _ := t.search(step, 0)
		for index := range steps[step].Count {
			var state *task
			if at < len(t.states) && t.states[at].step == step && t.states[at].key.Index == index {
				state = t.states[at]
				at++
			}
			if state == nil && t.isDone(step, index) || state != nil && state.phase == phaseDone {
				continue
			}
			if !yield(index, state) {
				return
			}
		}
	}
}
