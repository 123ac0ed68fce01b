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
func (k *storedJobs) renewLoop(ctx context.Context) {
	var row joblease.Beat
	for ctx.Err() == nil && !k.dispatcher.releasing.Load() {
		if !k.renewalNeeded.Load() {
			select {
			case <-k.renewalStart:
			case <-ctx.Done():
				return
			}
			continue
		}
		delay := joblease.RenewEvery
		sentAt := boottime.Now()
		err := k.renewOnce(ctx, &row)
		k.renewed(sentAt, err)
		if err != nil {
			delay = renewRetry
		}
		// For fails only when ctx ends, which the loop condition checks.
		_ = pause.For(ctx, delay)
	}
}

// renewOnce writes the row. If another entry has revoked the row, this entry
// starts a new generation: other entries may take over its jobs.
func (k *storedJobs) renewOnce(ctx context.Context, row *joblease.Beat) error {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	next := *row
	k.dispatcher.loop.Do(func(time.Time) { next.Name, next.Boot = k.self().Name, k.self().Boot })
	next.Count++
	version, err := k.owners.Put(ctx, next)
	if err == nil {
		next.Version = version
		*row = next
		return nil
	}
	if !errors.Is(err, jobstore.ErrRevoked) {
		return err
	}
	found, readErr := k.owners.Get(ctx, next.Name)
	if readErr != nil {
		return readErr
	}
	if found.Boot == next.Boot && !found.Left {
		// An earlier renewal succeeded, but its response was lost.
		*row = found
		return err
	}
	if row.Boot == next.Boot {
		k.newGeneration()
	}
	row.Version = found.Version
	return err
}

// newGeneration gives this entry a new owner identity. The entry then tries to
// reacquire its jobs, which succeeds for those that no other entry has taken over
// by then.
func (k *storedJobs) newGeneration() {
	k.dispatcher.loop.Do(func(now time.Time) {
		k.generation++
		k.lease = joblease.Lease{}
		k.dispatcher.core.SetOwnership(now, false)
		k.dispatcher.core.ReacquireJobs()
	})
	k.dispatcher.deps.Log.Failure(eventlog.KindLost).Str(eventlog.FieldName, "ownership").Msg("")
}

// renewed processes the outcome of a renewal. After an expired lease is renewed,
// it holds only for the jobs that this entry still owns. The next write of a job
// finds out whether it does. An entry that takes jobs over has revoked the row
// before.
func (k *storedJobs) renewed(sentAt time.Time, err error) {
	k.dispatcher.loop.Do(func(now time.Time) {
		if err == nil {
			k.lease.Renewed(sentAt)
		}
		k.dispatcher.core.SetOwnership(now, k.lease.Valid(now) && !k.dispatcher.releasing.Load())
		if !k.lease.Valid(now) {
			return
		}
		creates := k.awaitingLease
		k.awaitingLease = nil
		for _, change := range creates {
			k.submitCreate(change)
		}
		k.forgetExpired(now)
	})
}

// leave marks the entry's row as left: other entries may take over its jobs.
func (k *storedJobs) leave(ctx context.Context) {
	if !k.renewalNeeded.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	row, err := k.owners.Get(ctx, k.dispatcher.settings.Self.Name)
	if err != nil || row.Version == 0 {
		return
	}
	row.Left = true
	if _, err := k.owners.Put(ctx, row); err != nil {
		// Other entries take the jobs over when the row expires.
		k.writeFailed(err)
	}
}
