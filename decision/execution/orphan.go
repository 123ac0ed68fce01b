package execution

import (
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

// matches reports whether the end is the orphan, and not that of another run of the task.
// Entries of earlier builds name only the task, or no epoch.
func (o *orphan) matches(end session.TaskEnd) bool {
	sameEpoch := end.Epoch == session.UnknownEpoch || end.Epoch == o.epoch
	return end.Attempt == 0 || (end.Attempt == o.attempt && end.End == o.end && sameEpoch)
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
