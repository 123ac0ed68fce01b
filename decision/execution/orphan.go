package execution

import (
	"time"

	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// orphanRetention is how long the end of a run is kept for an entry that may ask for
// it: long enough for another entry to take the jobs of one that is gone over.
const orphanRetention = 12 * time.Second

// unknownOrphanRetention is how long the end of a task is kept of which it is not known
// whether its job is stored, where entries tell that there are no stored jobs.
const unknownOrphanRetention = 1500 * time.Millisecond

// safeReleaseAge is the age of an end within which nobody has run its task again:
// entries wait longer for a sidecar that they have lost.
const safeReleaseAge = 2500 * time.Millisecond

// orphan is an end that no entry is known to have stored, or saved work of a run
// that an entry may go on with.
type orphan struct {
	task work.TaskKey
	end  work.End
	// checkpoint is the newest of the task; empty for none.
	checkpoint work.Checkpoint
	// endedAt is when the end was listed, since when it is an orphan.
	endedAt time.Time
	// entry and event are those that the end was reported as, if it was.
	entry string
	event uint64
	// reported means that an entry that takes the job over knows of the end.
	reported bool
	// sequence is the minion's number of the end, 0 when the minion does not
	// list it any more.
	sequence uint64
	orphanedAt    time.Time
	// queriedAt is when an entry was asked last to find out whether it is stored.
	queriedAt time.Time
	// storedUnknown means that it is not known whether the job is stored.
	storedUnknown bool
}

// asOrphan returns the end as one that no entry is known to have stored.
func (p pendingEnd) asOrphan(now time.Time, sequence uint64) orphan {
	return orphan{
		task: p.task, end: p.end, checkpoint: p.checkpoint, sequence: sequence, endedAt: p.listedAt, orphanedAt: now,
		entry: p.entry, event: p.event,
	}
}

// HasOrphans reports whether there are ends to ask entries about.
func (c *Core) HasOrphans() bool { return len(c.orphans) > 0 }

// decidesJob reports whether an end tells something about the job of its task.
func decidesJob(end work.End) bool { return end == work.EndDone || end == work.EndFailed }

// keepOrphan keeps an end for an entry that may ask for it. Only ends that decide
// about a job, and saved work, matter. The minion may forget the latter, as it
// is here.
func (c *Core) keepOrphan(added orphan) {
	if decidesJob(added.end) {
		c.orphans[added.task] = added
		return
	}
	if added.checkpoint == "" || decidesJob(c.orphans[added.task].end) {
		return
	}
	added.sequence = 0
	c.orphans[added.task] = added
}

// releaseOrphan forgets an end that need not be kept. An old one of a task that may
// have run again meanwhile, since its entry could not reach this sidecar, is
// taken note of only after a lapse of the lease, which makes its run void.
func (c *Core) releaseOrphan(now time.Time, task work.TaskKey) {
	one, ok := c.orphans[task]
	if !ok {
		return
	}
	delete(c.orphans, task)
	if one.sequence == 0 || one.reported || one.storedUnknown || now.Sub(one.endedAt) <= safeReleaseAge {
		return
	}
	c.uncertainEnds[one.sequence] = struct{}{}
	c.logEvent(LogEvent{Kind: LogEndUncertain, Task: task, End: one.end})
}

// releaseUncertainEnds takes note of doubtful ends: the lease has lapsed.
func (c *Core) releaseUncertainEnds(now time.Time) {
	if len(c.uncertainEnds) > 0 {
		clear(c.uncertainEnds)
		c.reschedule(now)
	}
}

const (
	// orphanQueryDelay is how long an end waits for an entry that claims its task
	// before any entry is asked whether it is stored.
	orphanQueryDelay = 400 * time.Millisecond
	// orphanQueryInterval is the time after which another entry is asked.
	orphanQueryInterval = 2 * time.Second
	// maxOrphansPerQuery bounds the ends that one entry is asked about at a time.
	maxOrphansPerQuery = 50
)

// OrphansToQuery returns ends that nobody has claimed, for an entry that finds out
// whether they are stored.
func (c *Core) OrphansToQuery(now time.Time) []work.TaskKey {
	var asked []work.TaskKey
	for task, one := range c.orphans {
		if !decidesJob(one.end) || now.Sub(one.orphanedAt) < orphanQueryDelay || now.Sub(one.queriedAt) < orphanQueryInterval {
			continue
		}
		if len(asked) == maxOrphansPerQuery {
			return asked
		}
		one.queriedAt = now
		c.orphans[task] = one
		asked = append(asked, task)
	}
	return asked
}

// clearOrphanSequences takes note that the minion's lists start anew.
func (c *Core) clearOrphanSequences() {
	for task, one := range c.orphans {
		one.sequence = 0
		c.orphans[task] = one
	}
}

func (c *Core) dropOldOrphans(now time.Time) {
	for task, one := range c.orphans {
		limit := orphanRetention
		if one.storedUnknown && c.noStoredJobsReported && !c.storedJobsReported {
			limit = unknownOrphanRetention
		}
		if now.Sub(one.orphanedAt) > limit {
			c.releaseOrphan(now, task)
		}
	}
}

// claimOrphan tells an entry the end of a task that it claims, if that is kept.
func (c *Core) claimOrphan(entry string, task work.TaskKey) bool {
	one, ok := c.orphans[task]
	if !ok {
		return false
	}
	delete(c.orphans, task)
	event := c.report(entry, session.Event{Task: task, End: one.end, Checkpoint: one.checkpoint})
	if one.sequence != 0 {
		c.ends[one.sequence] = pendingEnd{entry: entry, event: event, task: task, end: one.end, checkpoint: one.checkpoint, durable: true, listedAt: one.endedAt}
	}
	return true
}

// Adopt tells an entry what there is of jobs whose owner is gone, and stops what
// is left of them.
func (c *Core) Adopt(now time.Time, request *session.AdoptRequest) session.AdoptReply {
	known, ok := c.entries[request.Owner]
	ok = ok && known.boot == request.Boot
	inTouch := ok && !known.silent && now.Sub(known.newestEcho) <= SilenceLimit
	if inTouch && !request.Force {
		return session.AdoptReply{InTouch: true}
	}
	if !c.listingRead || c.unresponsive {
		return session.AdoptReply{Unread: true}
	}
	if ok && !inTouch {
		c.dropEnds(now, request.Owner)
	}
	for _, task := range request.Stored {
		c.releaseOrphan(now, task)
	}
	wanted := make(map[work.JobID]bool, len(request.Jobs))
	for _, job := range request.Jobs {
		wanted[job] = true
	}
	var reply session.AdoptReply
	for _, run := range c.runs {
		if !wanted[run.task.Job] {
			continue
		}
		reply.Busy = true
		reply.AddCheckpoint(run.task, run.checkpoint)
		if run.entry == request.Owner || run.entry == "" {
			c.withdraw(now, run)
		}
	}
	for task, one := range c.orphans {
		if wanted[task.Job] {
			addEnd(&reply, task, one.end, one.checkpoint)
			one.reported = true
			c.orphans[task] = one
		}
	}
	for _, one := range c.ends {
		if wanted[one.task.Job] && one.entry == request.Owner {
			addEnd(&reply, one.task, one.end, one.checkpoint)
		}
	}
	return reply
}

// addEnd adds what an end tells about the job of its task.
func addEnd(reply *session.AdoptReply, task work.TaskKey, end work.End, checkpoint work.Checkpoint) {
	if decidesJob(end) {
		reply.Ends = append(reply.Ends, session.TaskEnd{Task: task, End: end})
	}
	reply.AddCheckpoint(task, checkpoint)
}
