package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/figring/figring/common/boottime"
	"github.com/figring/figring/common/eventlog"
	"github.com/figring/figring/common/pause"
	"github.com/figring/figring/decision/joblease"
	"github.com/figring/figring/jobstore"
)

const (
	// renewTimeout bounds one renewal.
	renewTimeout = 900 * time.Millisecond
	// renewRetry is the pause after a failed renewal.
	renewRetry = 150 * time.Millisecond
)

// renewLoop renews the entry's owner row from its first stored job on, until it
// leaves its jobs to other entries.
func (s *storedJobs) renewLoop(ctx context.Context) {
	var row joblease.OwnerRow
	s.awaitRenewal(ctx)
	for ctx.Err() == nil && !s.dispatcher.releasing.Load() {
		delay := joblease.RenewEvery
		sentAt := boottime.Now()
		err := s.renewOnce(ctx, &row)
		s.renewed(sentAt, err)
		if err != nil {
			delay = renewRetry
		}
		// For fails only when ctx ends, which the loop condition checks.
		_ = pause.For(ctx, delay)
	}
}

// renewOnce writes the row. If another entry has revoked the row, this entry
// starts a new generation: other entries may take over its jobs.
func (s *storedJobs) renewOnce(ctx context.Context, row *joblease.OwnerRow) error {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	next := *row
	s.dispatcher.loop.Do(func(time.Time) { next.Name, next.Boot = s.self().Name, s.self().Boot })
	next.Count++
	version, err := s.owners.Put(ctx, next)
	if err == nil {
		next.Version = version
		*row = next
		return nil
	}
	if !errors.Is(err, jobstore.ErrRevoked) {
		return err
	}
	found, readErr := s.owners.Get(ctx, next.Name)
	if readErr != nil {
		return readErr
	}
	if found.Boot == next.Boot && !found.Released {
		// An earlier renewal succeeded, and only its response was lost, or another entry
		// has left a notice.
		if found.Notices != row.Notices {
			s.ownCheck.request()
		}
		*row = found
		return err
	}
	if row.Boot == next.Boot {
		s.newGeneration()
	}
	row.Version = found.Version
	return err
}

// newGeneration gives this entry a new owner identity. The entry then tries to
// reacquire its jobs, which succeeds for those that no other entry has taken over
// by then.
func (s *storedJobs) newGeneration() {
	s.dispatcher.loop.Do(func(now time.Time) {
		s.generation++
		s.lease = joblease.Lease{}
		s.dispatcher.core.OwnUntil(now, time.Time{})
		s.dispatcher.core.ReacquireJobs()
	})
	s.dispatcher.deps.Log.Failure(eventlog.KindDependencyLost).Str(eventlog.FieldDependency, "ownership").Msg("")
}

// renewed processes the outcome of a renewal. An expired lease that is renewed
// holds only for the jobs that this entry still owns. The next write of each job
// shows whether the entry does: an entry that takes jobs over revokes the row
// first.
func (s *storedJobs) renewed(sentAt time.Time, err error) {
	s.dispatcher.loop.Do(func(now time.Time) {
		if err == nil {
			s.lease.Renewed(sentAt)
			s.runGuard.Renewed(sentAt)
		}
		s.limitRuns(now)
		s.dispatcher.core.OwnUntil(now, s.lease.End())
		if !s.lease.Valid(now) {
			return
		}
		creates := s.awaitingLease
		s.awaitingLease = nil
		for _, change := range creates {
			s.submitCreate(change)
		}
		s.forgetExpired(now)
	})
}

// leave marks the entry's row as left: other entries may take over its jobs.
func (s *storedJobs) leave(ctx context.Context) {
	if !s.renewalNeeded.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	row, err := s.owners.Get(ctx, s.dispatcher.settings.Self.Name)
	if err != nil || row.Version == 0 {
		return
	}
	row.Released = true
	if _, err := s.owners.Put(ctx, row); err != nil {
		// Other entries take the jobs over when the row expires.
		s.writeFailed(err)
	}
}
