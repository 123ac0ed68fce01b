package quarantine

import (
	"time"

	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// maxProofs bounds the poison tasks that are kept for other entries.
const maxProofs = 64

// proof is a poison task that this entry has found itself.
type proof struct {
	number         uint64
	task           work.TaskKey
	route, service string
	at             time.Time
}

func (t *Tracker) addProof(at time.Time, task work.TaskKey, route, service string) {
	number := uint64(1)
	if len(t.proofs) > 0 {
		number = t.proofs[len(t.proofs)-1].number + 1
	}
	t.proofs = append(t.proofs, proof{number: number, task: task, route: route, service: service, at: at})
	t.proofs = t.proofs[max(len(t.proofs)-maxProofs, 0):]
}

// ProofsAfter returns the poison tasks that this entry has found, with numbers above the
// given one, and the highest number.
func (t *Tracker) ProofsAfter(now time.Time, number uint64) (tasks []session.PoisonTask, newest uint64) {
	newest = number
	for _, one := range t.proofs {
		if one.number > number {
			tasks = append(tasks, session.PoisonTask{Task: one.task, Route: one.route, Service: one.service, Age: now.Sub(one.at)})
			newest = one.number
		}
	}
	return tasks, newest
}

// RecordPoison records a task that another entry has found to be poison. It reports
// whether that was not known yet.
func (t *Tracker) RecordPoison(now time.Time, reported *session.PoisonTask) bool {
	at := now.Add(-max(reported.Age, 0))
	if now.Sub(at) > retention || t.Poison(reported.Task) {
		return false
	}
	task := t.task(reported.Task, reported.Route)
	task.poison = true
	task.at = latest(task.at, at)
	t.blame(at, reported.Route, reported.Service, reported.Task.Job)
	return true
}
