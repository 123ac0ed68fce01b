package dispatcher

import (
	"context"
	"time"

	"github.com/figring/figring/decision/keptend"
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
	query := endQuery{dispatcher: s.link.dispatcher, unaware: make(map[jobstore.Owner]bool)}
	var answer keptend.Answer
	for _, end := range ends {
		answer.Add(end, query.find(ctx, end))
	}
	if answer.Empty() {
		return
	}
	request := answer.Request(s.link.name)
	// If the call fails, the sidecar lists the ends as orphans again.
	_ = s.client.Call(ctx, session.MethodAdopt, &request, &session.AdoptReply{}, adoptTimeout)
}

// endQuery finds out about the ends that one sidecar keeps.
type endQuery struct {
	dispatcher *Dispatcher
	// unaware are the owners that have not answered to this query and may own jobs still.
	unaware map[jobstore.Owner]bool
}

// find returns what the job store has of an end.
func (q *endQuery) find(ctx context.Context, end session.TaskEnd) keptend.State {
	d := q.dispatcher
	own, stored, since := false, false, session.RelationUnknown
	d.loop.Do(func(time.Time) { own, stored, since = d.core.TaskEndStored(end) })
	if own {
		return keptend.Of(stored, since)
	}
	found, err := d.deps.Jobs.Find(ctx, end.Task.Job)
	switch {
	case err != nil:
		return keptend.Needed
	case found.Open != nil:
		progress := &found.Open.Progress
		return keptend.Of(progress.Includes(end.Task, end.End, end.Attempt), end.Epoch.Relate(progress.Epoch))
	case found.End != nil && !q.ownerKnowsEnd(ctx, end.Task.Job, found.End.Owner):
		return keptend.Needed
	case found.End != nil:
		return keptend.Of(true, end.Epoch.Relate(found.End.Epoch))
	}
	return keptend.JobUnknown
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
	if err == nil && !row.HeldBy(owner.Boot) {
		return true
	}
	q.unaware[*owner] = true
	return false
}
