package execution

import (
	"maps"
	"slices"
	"time"

	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// safeReleaseAge is the age of an end up to which no entry has run its task
// again: entries wait longer than this for a sidecar that they have lost.
const safeReleaseAge = 2500 * time.Millisecond

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
		return !c.confirmedEnds[o.taskEnd().WithoutEpoch()]
	}
	return now.Sub(o.endedAt) > safeReleaseAge
}

// confirmEnds records ends that an entry was told by an earlier process of the sidecar and
// has stored.
func (c *Core) confirmEnds(ends []session.TaskEnd) {
	for _, end := range ends {
		c.confirmedEnds[end.WithoutEpoch()] = true
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
