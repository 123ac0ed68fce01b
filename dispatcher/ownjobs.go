package dispatcher

import (
	"context"
	"slices"
	"time"

	"github.com/figring/figring/common/eventlog"
	"github.com/figring/figring/jobstore"
	"github.com/figring/figring/work"
)

// unendedJobs returns the stored jobs that run at this entry as far as it knows.
func (s *storedJobs) unendedJobs() []work.JobID {
	var ids []work.JobID
	s.dispatcher.loop.Do(func(time.Time) { ids = s.dispatcher.core.UnendedStoredJobs() })
	return ids
}

// disownEnded disowns owned jobs that a later scan has not found open, because another
// entry has ended them: it was lost before it could tell. It reports false if one of them
// could not be read.
func (s *storedJobs) disownEnded(ctx context.Context, ended []work.JobID) bool {
	allRead := true
	for _, id := range ended {
		// The row may only be unreadable.
		found, err := s.store.Find(ctx, id)
		if err != nil {
			s.writeFailed(err)
			allRead = false
			continue
		}
		if found.Open != nil {
			continue
		}
		s.dispatcher.deps.Log.Failure(eventlog.KindDependencyRegained).Str(eventlog.FieldDependency, "jobs").
			Str(eventlog.FieldJob, string(id)).Str(eventlog.FieldReason, "ended elsewhere").Msg("")
		s.dispatcher.loop.Post(func(time.Time) { s.dropEnded(id, found.End) })
	}
	return allRead
}

// dropEnded drops a job that has ended in the job store; the end is nil if it is not stored any
// more. Where another entry has taken the job over before, it may have started tasks again
// whose ends this entry has, so that the job is only disowned. It must be called from the loop.
func (s *storedJobs) dropEnded(id work.JobID, end *jobstore.JobEnd) {
	core := s.dispatcher.core
	if !slices.Contains(core.UnendedStoredJobs(), id) {
		return
	}
	if end == nil || end.Owner == nil || !s.isSelf(*end.Owner) {
		core.Disown(id)
		return
	}
	core.EndedElsewhere(id)
}

// isSelf reports whether the owner is this process, under any of its identities.
func (s *storedJobs) isSelf(owner jobstore.Owner) bool {
	self := s.dispatcher.settings.Self
	return owner.Name == self.Name && processBoot(owner.Boot) == self.Boot
}
