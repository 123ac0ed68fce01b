package execution

import (
	"time"

	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// orphanKept is how long the end of a run is kept for an entry that may ask for
// it: long enough for another entry to take the jobs of one that is gone over.
const orphanKept = 12 * time.Second

// guessKept is how long the end of a task is kept of which it is not known
// whether its job is stored, where entries tell that there are no stored jobs.
const guessKept = 1500 * time.Millisecond

// releaseSafe is the age of an end within which nobody has run its task again:
// entries wait longer for a sidecar that they have lost.
const releaseSafe = 2500 * time.Millisecond

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
	// told means that an entry that takes the job over knows of the end.
	told bool
	// sequence is the minion's number of the end, 0 when the minion does not
	// list it any more.
	sequence uint64
	since    time.Time
	// askedAt is when an entry was asked last to find out whether it is stored.
	askedAt time.Time
	// guess means that it is not known whether the job is stored.
	guess bool
}

// orphaned returns the end as one that no entry is known to have stored.
func (p pendingEnd) orphaned(now time.Time, sequence uint64) orphan {
	return orphan{
		task: p.task, end: p.end, checkpoint: p.checkpoint, sequence: sequence, endedAt: p.at, since: now,
		entry: p.entry, event: p.event,
	}
}

// HasOrphans reports whether there are ends to ask entries about.
func (c *Core) HasOrphans() bool { return len(c.orphans) > 0 }

// decides reports whether an end tells something about the job of its task.
func decides(end work.End) bool { return end == work.EndDone || end == work.EndFailed }

// orphan keeps an end for an entry that may ask for it. Only ends that decide
// about a job, and saved work, matter. The minion may forget the latter, as it
// is here.
func (c *Core) orphan(added orphan) {
	if decides(added.end) {
		c.orphans[added.task] = added
		return
	}
	if added.checkpoint == "" || decides(c.orphans[added.task].end) {
		return
	}
	added.sequence = 0
	c.orphans[added.task] = added
}

// release forgets an end that need not be kept. An old one of a task that may
// have run again meanwhile, since its entry could not reach this sidecar, is
// taken note of only after a lapse of the lease, which makes its run void.
func (c *Core) release(now time.Time, task work.TaskKey) {
	one, ok := c.orphans[task]
	if !ok {
		return
	}
	delete(c.orphans, task)
	if one.sequence == 0 || one.told || one.guess || now.Sub(one.endedAt) <= releaseSafe {
		return
	}
	c.doubtful[one.sequence] = struct{}{}
	c.noted(Note{Kind: NoteDoubtful, Task: task, End: one.end})
}

// settleDoubts takes note of doubtful ends: the lease has lapsed.
func (c *Core) settleDoubts(now time.Time) {
	if len(c.doubtful) > 0 {
		clear(c.doubtful)
		c.settle(now)
	}
}

const (
	// orphanPatience is how long an end waits for an entry that claims its task
	// before any entry is asked whether it is stored.
	orphanPatience = 400 * time.Millisecond
	// orphanAskAgain is the time after which another entry is asked.
	orphanAskAgain = 2 * time.Second
	// maxOrphansAsked bounds the ends that one entry is asked about at a time.
	maxOrphansAsked = 50
)

// AskOrphans returns ends that nobody has claimed, for an entry that finds out
// whether they are stored.
func (c *Core) AskOrphans(now time.Time) []work.TaskKey {
	var asked []work.TaskKey
	for task, one := range c.orphans {
		if !decides(one.end) || now.Sub(one.since) < orphanPatience || now.Sub(one.askedAt) < orphanAskAgain {
			continue
		}
		if len(asked) == maxOrphansAsked {
			return asked
		}
		one.askedAt = now
		c.orphans[task] = one
		asked = append(asked, task)
	}
	return asked
}

// unlistOrphans takes note that the minion's lists start anew.
func (c *Core) unlistOrphans() {
	for task, one := range c.orphans {
		one.sequence = 0
		c.orphans[task] = one
	}
}

func (c *Core) dropOldOrphans(now time.Time) {
	for task, one := range c.orphans {
		limit := orphanKept
		if one.guess && c.noneSeen && !c.keptSeen {
			limit = guessKept
		}
		if now.Sub(one.since) > limit {
			c.release(now, task)
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
		c.ends[one.sequence] = pendingEnd{entry: entry, event: event, task: task, end: one.end, checkpoint: one.checkpoint, kept: true, at: one.endedAt}
	}
	return true
}

// Adopt tells an entry what there is of jobs whose owner is gone, and stops what
// is left of them.
func (c *Core) Adopt(now time.Time, request *session.AdoptRequest) session.AdoptReply {
	known, ok := c.entries[request.Owner]
	ok = ok && known.boot == request.Boot
	inTouch := ok && !known.silent && now.Sub(known.echoed) <= SilenceLimit
	if inTouch && !request.Force {
		return session.AdoptReply{OwnerAlive: true}
	}
	if !c.listed || c.blind {
		return session.AdoptReply{Incomplete: true}
	}
	if ok && !inTouch {
		c.forgetEnds(now, request.Owner)
	}
	for _, task := range request.Stored {
		c.release(now, task)
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
			tellEnd(&reply, task, one.end, one.checkpoint)
			one.told = true
			c.orphans[task] = one
		}
	}
	for _, one := range c.ends {
		if wanted[one.task.Job] && one.entry == request.Owner {
			tellEnd(&reply, one.task, one.end, one.checkpoint)
		}
	}
	return reply
}

// tellEnd adds what an end tells about the job of its task.
func tellEnd(reply *session.AdoptReply, task work.TaskKey, end work.End, checkpoint work.Checkpoint) {
	if decides(end) {
		reply.Ends = append(reply.Ends, session.TaskEnd{Task: task, End: end})
	}
	reply.AddCheckpoint(task, checkpoint)
}
