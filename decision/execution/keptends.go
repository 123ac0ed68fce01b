package execution

import (
	"iter"
	"slices"

	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// keptEnds holds ends and checkpoints by task, one for each run: a task may have failed here
// and then be done, and none of its ends takes the place of another.
type keptEnds map[work.TaskKey][]*orphan

// add adds the end of a run that has none yet, later than those that are kept. A checkpoint
// without an end that counts is kept once for each task, until an end comes with one.
func (k keptEnds) add(added *orphan) {
	k[added.task] = slices.DeleteFunc(k[added.task], func(o *orphan) bool {
		if decidesJob(o.end) {
			return false
		}
		added.checkpoint = work.NewestCheckpoint(o.checkpoint, added.checkpoint)
		return true
	})
	k[added.task] = append(k[added.task], added)
}

// remove removes an end.
func (k keptEnds) remove(removed *orphan) {
	left := slices.DeleteFunc(k[removed.task], func(o *orphan) bool { return o == removed })
	if len(left) == 0 {
		delete(k, removed.task)
		return
	}
	k[removed.task] = left
}

// all returns all ends, those of a task in the order in which they were added. The one that
// is visited may be removed.
func (k keptEnds) all() iter.Seq[*orphan] {
	return func(yield func(*orphan) bool) {
		for _, ends := range k {
			for _, o := range slices.Clone(ends) {
				if !yield(o) {
					return
				}
			}
		}
	}
}

// of returns the ends of a task that decide about its job. They may be removed meanwhile.
func (k keptEnds) of(task work.TaskKey) []*orphan {
	var found []*orphan
	for _, o := range k[task] {
		if decidesJob(o.end) {
			found = append(found, o)
		}
	}
	return found
}

// matching returns the ends that an entry means by the given one: a single one unless the
// entry is of an earlier build.
func (k keptEnds) matching(end session.TaskEnd) []*orphan {
	var found []*orphan
	for _, o := range k[end.Task] {
		if o.matches(end) {
			found = append(found, o)
		}
	}
	return found
}

// hasDone reports whether a run of the task is done.
func (k keptEnds) hasDone(task work.TaskKey) bool {
	return slices.ContainsFunc(k[task], func(o *orphan) bool { return o.end == work.EndDone })
}

// answerTo returns what answers an order or a claim of an attempt at the task: the end that is
// done, else that of the latest failed attempt that the entry does not know, else a
// checkpoint; nil for none. An attempt of 0 stands for any.
func (k keptEnds) answerTo(task work.TaskKey, attempt int) *orphan {
	var answer *orphan
	for _, o := range k[task] {
		if o.isBefore(attempt) {
			continue
		}
		if answer == nil || o.outranks(answer) {
			answer = o
		}
	}
	return answer
}
