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
// whether its job is stored, while no entry tells of stored jobs.
const guessKept = 1500 * time.Millisecond

// orphan is an end that no entry was told of.
type orphan struct {
	end work.End
	// sequence is the minion's number of the end, 0 when the minion does not
	// list it any more.
	sequence uint64
	since    time.Time
	// askedAt is when an entry was asked last to find out whether it is stored.
	askedAt time.Time
	// guess means that it is not known whether the job is stored.
	guess bool
}

// decides reports whether an end tells something about the job of its task.
func decides(end work.End) bool { return end == work.EndDone || end == work.EndFailed }

// orphan keeps an end for an entry that may ask for it. Only ends that decide
// about a job matter.
func (c *Core) orphan(now time.Time, task work.TaskKey, end work.End, sequence uint64, guess bool) {
	if !decides(end) {
		return
	}
	c.orphans[task] = orphan{end: end, sequence: sequence, since: now, guess: guess}
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
		if now.Sub(one.since) < orphanPatience || now.Sub(one.askedAt) < orphanAskAgain {
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
		if one.guess && !c.keptSeen {
			limit = guessKept
		}
		if now.Sub(one.since) > limit {
			delete(c.orphans, task)
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
	event := c.report(entry, task, one.end, 0)
	if one.sequence != 0 {
		c.ends[one.sequence] = pendingEnd{entry: entry, event: event, task: task, end: one.end, kept: true}
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
		return session.AdoptReply{InTouch: true}
	}
	if ok && !inTouch {
		c.forgetEnds(now, request.Owner)
	}
	for _, task := range request.Stored {
		delete(c.orphans, task)
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
		if run.entry == request.Owner || run.entry == "" {
			c.withdraw(now, run)
		}
	}
	for task, one := range c.orphans {
		if wanted[task.Job] {
			reply.Ends = append(reply.Ends, session.TaskEnd{Task: task, End: one.end})
		}
	}
	for _, one := range c.ends {
		if wanted[one.task.Job] && one.entry == request.Owner && decides(one.end) {
			reply.Ends = append(reply.Ends, session.TaskEnd{Task: one.task, End: one.end})
		}
	}
	return reply
}
