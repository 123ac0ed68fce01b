package quarantine

import (
	"time"

	"github.com/figring/figring/work"
)

// RecordRefusal records that a job of the route was refused for want of room.
func (t *Tracker) RecordRefusal(now time.Time, route string) {
	if found, ok := t.routes[route]; ok {
		found.refusedAt = now
	}
}

// YieldsRoom reports whether a task leaves the room of its route to jobs that have not been
// started yet: the route is confined and short of room, and the task is a suspect of its
// last crash. It is far more likely than a new job to crash the next minion, which then
// serves nobody for some seconds.
func (t *Tracker) YieldsRoom(now time.Time, key work.TaskKey, route string) bool {
	found, ok := t.routes[route]
	if !ok || !found.confined || now.Sub(found.refusedAt) > shortageTime {
		return false
	}
	task, ok := t.tasks[key]
	return ok && task.young
}
