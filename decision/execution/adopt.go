package execution

import (
	"time"

	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// Adopt tells an entry what the sidecar has of jobs whose owner is gone, and
// stops the runs that remain of them.
func (c *Core) Adopt(now time.Time, request *session.AdoptRequest) session.AdoptReply {
	owner, ok := c.entries[request.Owner]
	ok = ok && owner.boot == request.Boot
	inTouch := ok && !owner.silent && now.Sub(owner.newestEcho) <= SilenceLimit
	if inTouch && !request.Force {
		return session.AdoptReply{OwnerAlive: true}
	}
	if !c.listingRead || !c.caughtUp || c.unresponsive {
		return session.AdoptReply{Incomplete: true}
	}
	if ok && !inTouch {
		c.dropEnds(now, request.Owner)
	}
	for _, end := range request.ConfirmedEnds {
		c.releaseConfirmedOrphan(end)
	}
	for _, end := range request.SupersededEnds {
		c.releaseSupersededOrphan(end)
	}
	for _, end := range request.StoredEnds {
		c.markStored(end.Task)
		c.releaseStoredOrphan(now, end, request.Adopter)
	}
	for _, end := range request.AllUnknown() {
		c.releaseStoredOrphan(now, end, request.Adopter)
	}
	// All that the sidecar has under the owner's name belongs to the incarnation that has
	// its session.
	successor := c.hasSuccessor(now, request)
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
		if run.entry == "" || (run.entry == request.Owner && !successor) {
			c.withdraw(now, run)
		}
	}
	for o := range c.orphans.all() {
		if wanted[o.task.Job] {
			o.storedUnknown = false
			addEnd(&reply, o.taskEnd(), o.checkpoint)
			o.recordReport(now, request.Adopter)
		}
	}
	for sequence, pending := range c.ends {
		if wanted[pending.task.Job] && pending.entry == request.Owner && !successor {
			pending.reportedTo = addName(pending.reportedTo, request.Adopter)
			c.ends[sequence] = pending
			addEnd(&reply, pending.taskEnd(), pending.checkpoint)
		}
	}
	return reply
}

// hasSuccessor reports whether another incarnation of the owner is in touch with the
// sidecar. It may have taken over the jobs since the entry that asks has read their list.
func (c *Core) hasSuccessor(now time.Time, request *session.AdoptRequest) bool {
	state, ok := c.entries[request.Owner]
	return ok && state.boot != request.Boot && !c.silent(now, request.Owner)
}

// addEnd adds the end of a task to the reply if it affects the job's outcome,
// and the task's checkpoint if there is one.
func addEnd(reply *session.AdoptReply, end session.TaskEnd, checkpoint work.Checkpoint) {
	if decidesJob(end.End) {
		reply.Ends = append(reply.Ends, end)
	}
	reply.AddCheckpoint(end.Task, checkpoint)
}
