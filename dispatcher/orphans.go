package dispatcher

import (
	"context"
	"time"

	"github.com/figring/figring/jobstore"
	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// releaseTimeout bounds releaseStored.
const releaseTimeout = 2 * time.Second

// releaseStored finds out which of the ends that a sidecar keeps are no longer
// needed, and tells the sidecar: those that are stored, those of jobs that have ended, and
// those whose tasks may have been started again. The other ends are left to the entry that
// owns the job or takes it over.
func (s *openSession) releaseStored(ends []session.TaskEnd) {
	ctx, cancel := context.WithTimeout(s.link.dispatcher.tasksCtx, releaseTimeout)
	defer cancel()
	var stored, unknown []session.TaskEnd
	request := session.AdoptRequest{Sidecar: s.link.name}
	query := endQuery{dispatcher: s.link.dispatcher, unaware: make(map[jobstore.Owner]bool)}
	for _, end := range ends {
		switch query.find(ctx, end) {
		case endConfirmed:
			stored = append(stored, end)
			request.ConfirmedEnds = append(request.ConfirmedEnds, end)
		case endStored:
			stored = append(stored, end)
		case endSuperseded:
			request.SupersededEnds = append(request.SupersededEnds, end)
		case jobUnknown:
			unknown = append(unknown, end)
		}
	}
	if len(stored)+len(unknown)+len(request.SupersededEnds) == 0 {
		return
	}
	request.SetReleased(stored, unknown)
	// If the call fails, the sidecar lists the ends as orphans again.
	_ = s.client.Call(ctx, session.MethodAdopt, &request, &session.AdoptReply{}, adoptTimeout)
}

// endState says what the job store has of an end.
type endState int

const (
	// endNeeded means that the end is not stored yet, or that nothing is known of it.
	endNeeded endState = iota
	// endConfirmed means that the end is stored, or that its job has ended, and that its task
	// was not started again.
	endConfirmed
	// endStored is endConfirmed where it is not known whether the task was started again.
	endStored
	// endSuperseded means that the task may have been started again.
	endSuperseded
	// jobUnknown means that the job is not stored.
	jobUnknown
)

// endQuery finds out about the ends that one sidecar keeps.
type endQuery struct {
	dispatcher *Dispatcher
	// unaware are the owners that have not answered to this query and may own jobs still.
	unaware map[jobstore.Owner]bool
}

// find returns what the job store has of an end.
func (q *endQuery) find(ctx context.Context, end session.TaskEnd) endState {
	d := q.dispatcher
	own, stored, since := false, false, session.Unrelated
	d.loop.Do(func(time.Time) { own, stored, since = d.core.TaskEndStored(end) })
	if own {
		return stateOf(stored, since)
	}
	found, err := d.deps.Jobs.Find(ctx, end.Task.Job)
	switch {
	case err != nil:
		return endNeeded
	case found.Open != nil:
		return stateInOpenJob(&found.Open.Progress, end)
	case found.End != nil && !q.ownerKnowsEnd(ctx, end.Task.Job, found.End.Owner):
		return endNeeded
	case found.End != nil:
		return stateOf(true, end.Epoch.Relate(found.End.Epoch))
	}
	return jobUnknown
}

// ownerKnowsEnd reports whether the owner of a job that another entry has ended starts nothing
// of it any more: it knows of the end, which it is told now, or owns nothing. Otherwise it
// would start a task again whose end is gone. The owner is nil for a job that it has ended
// itself.
func (q *endQuery) ownerKnowsEnd(ctx context.Context, id work.JobID, owner *jobstore.Owner) bool {
	if owner == nil {
		return true
	}
	if q.unaware[*owner] {
		return false
	}
	if q.dispatcher.callOwner(ctx, id, owner.Name) {
		return true
	}
	row, err := q.dispatcher.storedJobs.owners.Get(ctx, owner.Name)
	if err != nil {
		q.dispatcher.storedJobs.writeFailed(err)
	}
	if err == nil && !row.IsOf(owner.Boot) {
		return true
	}
	q.unaware[*owner] = true
	return false
}

// stateInOpenJob returns what the progress of a job has of an end.
func stateInOpenJob(progress *jobstore.Progress, end session.TaskEnd) endState {
	return stateOf(progress.Includes(end.Task, end.End, end.Attempt), end.Epoch.Relate(progress.Epoch))
}

// stateOf returns the state of an end that is stored or not, and that stands to its job as
// given.
func stateOf(stored bool, since session.Relation) endState {
	switch {
	case since == session.Superseded:
		return endSuperseded
	case !stored:
		return endNeeded
	case since == session.Current:
		return endConfirmed
	}
	return endStored
}
