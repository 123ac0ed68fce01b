package execution

import (
	"maps"
	"slices"
	"time"

	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// orphanRetention is how long an end is kept for an entry that may ask for it,
// counted from when its entry was lost and anew from when another entry has asked.
// It leaves time for another entry to take over the jobs of one that is gone.
const orphanRetention = 12 * time.Second

// unknownOrphanRetention is how long an end is kept if it is not known whether
// its job is stored and entries report only that there are no stored jobs.
const unknownOrphanRetention = 1500 * time.Millisecond

// safeReleaseAge is the age of an end up to which no entry has run its task
// again: entries wait longer than this for a sidecar that they have lost.
const safeReleaseAge = 2500 * time.Millisecond

// orphan is an end that no entry is known to have stored, or a checkpoint from
// which an entry may resume the task.
type orphan struct {
	task work.TaskKey
	end  work.End
	// attempt is the attempt at the task that ended.
	attempt int
	// epoch is that of the order of the run; session.UnknownEpoch if it is not known.
	epoch session.Epoch
	// checkpoint is the newest checkpoint of the task; empty for none.
	checkpoint work.Checkpoint
	// endedAt is when the end was listed first; zero if an earlier process of the sidecar may
	// have listed it. orphanedAt is when it became an orphan.
	endedAt time.Time
	// entry and event identify the event that reported the end; event is 0 for
	// none.
	entry string
	event uint64
	// reportedTo are the entries that were told of the end when they asked for it in order
	// to take over the job, and reportedAt is when the last of them asked. Any of them may be
	// lost before it has stored the end.
	reportedTo []string
	reportedAt time.Time
	// sequence is the minion's number of the end, or 0 if the minion need not keep
	// the end or no longer lists it.
	sequence   uint64
	orphanedAt time.Time
	// queriedAt is when an entry was last asked whether the end is stored.
	queriedAt time.Time
	// storedUnknown means that it is not known whether the job is stored.
	storedUnknown bool
	// void means that the lease has lapsed since the end.
	void bool
}

// taskEnd returns the end as entries name it.
func (o *orphan) taskEnd() session.TaskEnd {
	return session.TaskEnd{Task: o.task, End: o.end, Attempt: o.attempt, Epoch: o.epoch}
}

// asOrphan converts a pending end to an orphan.
func (p pendingEnd) asOrphan(now time.Time, sequence uint64) orphan {
	return orphan{
		task: p.task, end: p.end, attempt: p.attempt, epoch: p.epoch, checkpoint: p.checkpoint, sequence: sequence, endedAt: p.listedAt, orphanedAt: now,
		entry: p.entry, event: p.event, reportedTo: p.reportedTo,
	}
}

// recordReport records that an entry was told of the end. Entries of earlier builds
// don't give their names.
func (o *orphan) recordReport(now time.Time, entry string) {
	o.reportedAt = now
	o.reportedTo = addName(o.reportedTo, entry)
}

// addName adds a name to a list that does not have it; an empty one is not added.
func addName(names []string, name string) []string {
	if name == "" || slices.Contains(names, name) {
		return names
	}
	return append(names, name)
}

// HasOrphans reports whether there are orphans to ask entries about.
func (c *Core) HasOrphans() bool { return len(c.orphans) > 0 }

// decidesJob reports whether the end affects the outcome of the task's job.
func decidesJob(end work.End) bool { return end == work.EndDone || end == work.EndFailed }

// keepOrphan keeps an end for an entry that may ask for it. Only ends that
// affect a job's outcome, and checkpoints, are kept. The minion may forget an
// end that is kept only for its checkpoint, since the checkpoint is kept here.
func (c *Core) keepOrphan(added orphan) {
	if decidesJob(added.end) {
		c.orphans.add(&added)
		return
	}
	if added.checkpoint == "" || c.orphans.hasDone(added.task) {
		return
	}
	added.sequence = 0
	c.orphans.add(&added)
}

// releaseOrphan drops an end that need not be kept any more because the outcome
// of the task is in the job store, whoever wrote it. If the end is old, that may be
// the outcome of another run, of an entry that could not reach this sidecar.
func (c *Core) releaseOrphan(now time.Time, o *orphan) {
	c.orphans.remove(o)
	if !o.storedUnknown && c.isOld(now, o) {
		c.voidEnd(o)
	}
}

// mayHaveRunAgain reports whether the task of an end may have been started again elsewhere,
// as an entry asks for it that orders or claims the task in an epoch of its job. Where the
// epochs don't tell, an old end may.
func (c *Core) mayHaveRunAgain(now time.Time, o *orphan, epoch session.Epoch) bool {
	switch o.epoch.Relate(epoch) {
	case session.Current:
		return false
	case session.Superseded:
		return true
	}
	return c.isOld(now, o)
}

// isOld reports whether the end is so old that its task may have been started again. An end
// of unknown age counts as old unless the entry that was told of it has stored it.
func (c *Core) isOld(now time.Time, o *orphan) bool {
	if o.endedAt.IsZero() {
		return !c.confirmedEnds[o.taskEnd().Untagged()]
	}
	return now.Sub(o.endedAt) > safeReleaseAge
}

// confirmEnds records ends that an entry was told by an earlier process of the sidecar and
// has stored.
func (c *Core) confirmEnds(ends []session.TaskEnd) {
	for _, end := range ends {
		c.confirmedEnds[end.Untagged()] = true
	}
}

// releaseStoredOrphan drops an end that the entry reports to have stored. An end
// that was told to this entry is stored itself; other entries may have been told of it
// and lost before they could store it.
func (c *Core) releaseStoredOrphan(now time.Time, stored session.TaskEnd, entry string) {
	c.releaseStoredEnd(stored, entry)
	for _, o := range c.orphans.matching(stored) {
		if slices.Contains(o.reportedTo, entry) {
			c.orphans.remove(o)
			continue
		}
		c.releaseOrphan(now, o)
	}
}

// releaseConfirmedOrphan drops an end that is in the job store and after which no run of its
// task was started.
func (c *Core) releaseConfirmedOrphan(confirmed session.TaskEnd) {
	for _, o := range c.orphans.matching(confirmed) {
		c.orphans.remove(o)
	}
}

// releaseSupersededOrphan drops an end after which its task may have been started again.
func (c *Core) releaseSupersededOrphan(superseded session.TaskEnd) {
	for _, o := range c.orphans.matching(superseded) {
		c.expireOrphan(o)
	}
}

// markStored records that the job of a task is stored, so that another entry may have run
// the task again.
func (c *Core) markStored(task work.TaskKey) {
	for _, o := range c.orphans[task] {
		o.storedUnknown = false
	}
}

// releaseStoredEnd drops an end that waits for its former owner and that the entry, which
// was told of it, reports to have stored.
func (c *Core) releaseStoredEnd(stored session.TaskEnd, entry string) {
	maps.DeleteFunc(c.ends, func(_ uint64, end pendingEnd) bool {
		told := end.task == stored.Task && slices.Contains(end.reportedTo, entry)
		return told && end.attempt == stored.Attempt && end.end == stored.End
	})
}

// matches reports whether the end is the orphan, and not that of another run of the task.
// Entries of earlier builds name only the task, or no epoch.
func (o *orphan) matches(end session.TaskEnd) bool {
	sameEpoch := end.Epoch == session.UnknownEpoch || end.Epoch == o.epoch
	return end.Attempt == 0 || (end.Attempt == o.attempt && end.End == o.end && sameEpoch)
}

// expireOrphan drops an end that no entry is known to have stored, though it may
// belong to a stored job, which then runs the task again.
func (c *Core) expireOrphan(o *orphan) {
	c.orphans.remove(o)
	c.voidEnd(o)
}

// voidEnd makes the minion forget an end whose task may run again, or has. The end is
// acknowledged to the minion only after the lease has lapsed, which makes it void.
func (c *Core) voidEnd(o *orphan) {
	if o.sequence == 0 || o.void {
		return
	}
	c.uncertainEnds[o.sequence] = struct{}{}
	c.logEvent(LogEvent{Kind: LogEndUncertain, Task: o.task, End: o.end})
}

// releaseUncertainEnds lets the minion forget uncertain ends. It is called when
// the lease has lapsed, which makes all ends void that are kept.
func (c *Core) releaseUncertainEnds(now time.Time) {
	for o := range c.orphans.all() {
		o.void = true
	}
	if len(c.uncertainEnds) > 0 {
		clear(c.uncertainEnds)
		c.reschedule(now)
	}
}

const (
	// orphanQueryDelay is how long an end waits for an entry to claim its task
	// before any entry is asked whether it is stored.
	orphanQueryDelay = 400 * time.Millisecond
	// orphanQueryInterval is the time after which another entry is asked.
	orphanQueryInterval = 2 * time.Second
	// maxOrphansPerQuery bounds the ends that one entry is asked about at a time.
	maxOrphansPerQuery = 50
)

// OrphansToQuery returns unclaimed ends, for an entry to find out whether they
// are stored.
func (c *Core) OrphansToQuery(now time.Time) []session.TaskEnd {
	var asked []session.TaskEnd
	for o := range c.orphans.all() {
		if !decidesJob(o.end) || now.Sub(o.orphanedAt) < orphanQueryDelay || now.Sub(o.queriedAt) < orphanQueryInterval {
			continue
		}
		if len(asked) == maxOrphansPerQuery {
			return asked
		}
		o.queriedAt = now
		asked = append(asked, o.taskEnd())
	}
	return asked
}

// clearOrphanSequences clears the minion's sequence numbers, which start again
// with a new incarnation.
func (c *Core) clearOrphanSequences() {
	for o := range c.orphans.all() {
		o.sequence = 0
	}
}

// dropOldOrphans drops the ends that no entry has asked for in time.
func (c *Core) dropOldOrphans(now time.Time) {
	for o := range c.orphans.all() {
		switch {
		case o.storedUnknown && c.noStoredJobsReported && !c.storedJobsReported:
			if now.Sub(o.orphanedAt) > unknownOrphanRetention {
				c.orphans.remove(o)
			}
		case now.Sub(o.orphanedAt) > orphanRetention && now.Sub(o.reportedAt) > orphanRetention:
			c.expireOrphan(o)
		}
	}
}

// isBefore reports whether the end is that of an earlier attempt, which an entry has
// received if it is at this one. A task that is done has no later attempt.
func (o *orphan) isBefore(attempt int) bool { return o.end != work.EndDone && o.attempt < attempt }

// outranks reports whether the end comes before another end of the task in the answer to an
// entry.
func (o *orphan) outranks(other *orphan) bool {
	switch {
	case other.end == work.EndDone:
		return false
	case o.end == work.EndDone, !decidesJob(other.end):
		return true
	}
	return decidesJob(o.end) && o.attempt > other.attempt
}

// voidSuperseded drops the ends of a task, and reports that it has dropped one, after which the
// task may have been started again before an entry ordered it in an epoch of its job. They are
// not those of the order: the minion has to forget them, which makes them void.
func (c *Core) voidSuperseded(now time.Time, task work.TaskKey, epoch session.Epoch) bool {
	dropped := false
	for _, o := range c.orphans.of(task) {
		if c.mayHaveRunAgain(now, o, epoch) {
			c.expireOrphan(o)
			dropped = true
		}
	}
	if dropped {
		c.reschedule(now)
	}
	return dropped
}

// claimOrphan reports the orphaned end of a claimed attempt to the entry, if there is
// one. The entry has received the end of an earlier attempt already. An attempt of 0
// stands for any.
func (c *Core) claimOrphan(entry string, task work.TaskKey, attempt int) bool {
	o := c.orphans.answerTo(task, attempt)
	if o == nil {
		return false
	}
	c.orphans.remove(o)
	event := c.report(entry, session.Event{Task: task, End: o.end, Attempt: o.attempt, Checkpoint: o.checkpoint})
	if o.sequence != 0 {
		c.ends[o.sequence] = pendingEnd{entry: entry, event: event, task: task, end: o.end, attempt: o.attempt, epoch: o.epoch, checkpoint: o.checkpoint, durable: true, listedAt: o.endedAt}
	}
	return true
}
