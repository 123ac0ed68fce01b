package dispatcher

import (
	"context"
	"slices"
	"time"

	"github.com/figring/figring/common/eventlog"
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
		s.dispatcher.loop.Post(func(time.Time) {
			if slices.Contains(s.dispatcher.core.UnendedStoredJobs(), id) {
				s.dispatcher.core.EndedElsewhere(id)
			}
		})
	}
	return allRead
}
