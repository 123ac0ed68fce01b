package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/figring/figring/common/eventlog"
	"github.com/figring/figring/common/pause"
	"github.com/figring/figring/jobstore"
	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// minNotifyPause and maxNotifyPause bound the backoff between attempts to tell another entry
// that a job that it owned has ended.
const (
	minNotifyPause = 200 * time.Millisecond
	maxNotifyPause = 2 * time.Second
)

// notifyOwner tells the owner of a job that this entry has ended the job: directly, or if it
// does not answer, by a notice in its owner row, which it meets with its next renewal.
// It returns false if this process ends before either succeeds.
func (d *Dispatcher) notifyOwner(id work.JobID, owner jobstore.Owner) bool {
	ctx := d.tasksCtx
	wait := minNotifyPause
	for ctx.Err() == nil {
		if d.callOwner(ctx, id, owner.Name) {
			return true
		}
		err := d.storedJobs.leaveNotice(ctx, owner)
		if err == nil {
			d.deps.Log.Failure(eventlog.KindDependencyLost).Str(eventlog.FieldDependency, owner.Name).
				Str(eventlog.FieldJob, string(id)).Str(eventlog.FieldReason, "told of the end by its row").Msg("")
			return true
		}
		d.storedJobs.writeFailed(err)
		// For fails only when ctx ends, which the loop condition checks.
		_ = pause.For(ctx, wait)
		wait = min(2*wait, maxNotifyPause)
	}
	d.deps.Log.Failure(eventlog.KindDependencyLost).Str(eventlog.FieldDependency, owner.Name).
		Str(eventlog.FieldJob, string(id)).Str(eventlog.FieldReason, "not told of the end").Msg("")
	return false
}

// callOwner tells the owner of a job of its end and reports whether it has confirmed that.
func (d *Dispatcher) callOwner(ctx context.Context, id work.JobID, name string) bool {
	if name == d.settings.Self.Name {
		d.loop.Do(func(time.Time) { d.core.EndedElsewhere(id) })
		return true
	}
	owner, ok := d.deps.Directory.Get(name)
	return ok && d.callEntry(ctx, owner, session.MethodEnded, &session.EndedRequest{Job: id}, &session.EndedReply{}) == nil
}

// leaveNotice changes the row of an owner, so that its next renewal fails and it compares
// its jobs with the job store. An owner that holds no lease any more needs no notice.
func (s *storedJobs) leaveNotice(ctx context.Context, owner jobstore.Owner) error {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	for ctx.Err() == nil {
		row, err := s.owners.Get(ctx, owner.Name)
		if err != nil {
			return err
		}
		if !row.HeldBy(owner.Boot) {
			return nil
		}
		row.Notices++
		_, err = s.owners.Put(ctx, row)
		if !errors.Is(err, jobstore.ErrRevoked) {
			return err
		}
	}
	return ctx.Err()
}
