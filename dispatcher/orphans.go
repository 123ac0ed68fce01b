package dispatcher

import (
	"context"
	"time"

	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// releaseTimeout bounds releaseStored.
const releaseTimeout = 2 * time.Second

// releaseStored finds out which of the ends that a sidecar keeps are no longer
// needed, and tells the sidecar: those that are stored, and those of jobs that
// have ended. The other ends are left to the entry that owns the job or takes it
// over.
func (s *openSession) releaseStored(tasks []work.TaskKey) {
	ctx, cancel := context.WithTimeout(s.link.dispatcher.tasksCtx, releaseTimeout)
	defer cancel()
	var stored []work.TaskKey
	for _, task := range tasks {
		if s.isStored(ctx, task) {
			stored = append(stored, task)
		}
	}
	if len(stored) == 0 {
		return
	}
	request := session.AdoptRequest{Sidecar: s.link.name, Stored: stored}
	// If the call fails, the sidecar lists the tasks as orphans again.
	_ = s.client.Call(ctx, session.MethodAdopt, &request, &session.AdoptReply{}, adoptTimeout)
}

func (s *openSession) isStored(ctx context.Context, task work.TaskKey) bool {
	d := s.link.dispatcher
	own, stored := false, false
	d.loop.Do(func(time.Time) { own, stored = d.core.TaskEndStored(task) })
	if own {
		return stored
	}
	found, err := d.deps.Jobs.Find(ctx, task.Job)
	switch {
	case err != nil:
		return false
	case found.Open != nil:
		return found.Open.Progress.Done.Has(task.Step, task.Index)
	}
	return true
}
