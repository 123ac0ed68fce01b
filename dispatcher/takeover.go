package dispatcher

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/figring/figring/common/boottime"
	"github.com/figring/figring/common/eventlog"
	"github.com/figring/figring/common/rendezvous"
	"github.com/figring/figring/decision/heldjob"
	"github.com/figring/figring/decision/joblease"
	"github.com/figring/figring/jobstore"
	"github.com/figring/figring/work"
)

const (
	// watchEvery is the interval at which the owner rows are read while there are
	// any, idleWatchEvery while there are none.
	watchEvery     = time.Second
	idleWatchEvery = 2 * time.Second
	// watchTimeout bounds one read of the owner rows, and one write that revokes a
	// row.
	watchTimeout = 1500 * time.Millisecond
	// scanAfterChange is how long open jobs are scanned frequently after a change of
	// the owners: a delayed write may still add a job.
	scanAfterChange = 20 * time.Second
	// scanEvery is the interval of scans during that time, idleScanEvery otherwise.
	scanEvery     = 2 * time.Second
	idleScanEvery = 30 * time.Second
	// scanTimeout bounds one scan.
	scanTimeout = 10 * time.Second
	// adoptTimeout bounds one call to a sidecar. adoptPause is the pause between
	// two rounds of calls while runs are being stopped. adoptPatience is how long a
	// sidecar may be unreachable before the leases of its runs count as expired, since
	// the owner has withdrawn them by then, and how long runs may take to stop before the
	// list of the jobs is read again.
	adoptTimeout  = 600 * time.Millisecond
	adoptPause    = 150 * time.Millisecond
	adoptPatience = joblease.AdoptPatience
	// openToAllAfter is how long the jobs of an owner that is gone wait for the
	// entry that they are assigned to, or for the owner itself if it is alive but
	// has lost the connection to the store. After that any entry takes them over.
	openToAllAfter = 5 * time.Second
)

// takeOverLoop watches the owner rows and takes over the jobs of owners that are
// gone, until ctx ends.
func (s *storedJobs) takeOverLoop(ctx context.Context) {
	t := &takeover{storedJobs: s, monitor: joblease.NewMonitor(), orphanSince: make(map[jobstore.Owner]time.Time)}
	for ctx.Err() == nil {
		if t.runRound(ctx) {
			continue
		}
		delay := idleWatchEvery
		if s.ownersExist.Load() {
			delay = watchEvery
		}
		t.awaitRound(ctx, delay)
	}
}

// awaitRound waits for the next round, which begins at once after a notice of another entry.
func (t *takeover) awaitRound(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.ownCheck.changed:
	case <-ctx.Done():
	}
}

// takeover is the state of takeOverLoop.
type takeover struct {
	*storedJobs
	monitor *joblease.Monitor
	// lastBoots has the boots of the owners by name as of the last read. The boot of
	// an owner that has left is marked.
	lastBoots map[string]string
	// scanUntil is the time until which open jobs are scanned frequently.
	scanUntil, nextScan time.Time
	// orphanSince has the time since when scans have found jobs of an owner that is
	// gone.
	orphanSince map[jobstore.Owner]time.Time
	// waiting is the number of orphans that the latest scan has left in the job store,
	// since this entry has no memory for them.
	waiting int
	// unanswered are the sidecars that did not answer the latest calls.
	unanswered unansweredCalls
}

// runRound reads the owner rows and scans the open jobs if that is due. It reports whether
// the next round is due at once, because the scan's list of the jobs is outdated.
func (t *takeover) runRound(ctx context.Context) bool {
	now := boottime.Now()
	listCtx, cancel := context.WithTimeout(ctx, watchTimeout)
	rows, err := t.owners.List(listCtx)
	cancel()
	if err != nil {
		t.writeFailed(err)
		return false
	}
	t.monitor.Observe(now, rows)
	t.ownersSeen.Store(&ownersView{owners: t.monitor.Owners(), gone: t.monitor.Gone()})
	t.ownersExist.Store(t.monitor.HasRows())
	t.noOwners.Store(!t.monitor.HasRows())
	t.replacePreviousRow(rows)
	t.revoke(ctx)
	t.scheduleScan(now, rows)
	if !t.monitor.HasRows() || (now.Before(t.nextScan) && !t.ownCheck.due()) {
		return false
	}
	begun := t.ownCheck.begin()
	result := t.scan(ctx, now)
	if result.complete {
		t.ownCheck.settle(begun)
		t.nextScan = t.scanAfter(now)
	}
	if result.outdated {
		t.nextScan = now
	}
	return result.outdated
}

// scanAfter returns when a scan is due after a complete one that has begun now. One that was
// not complete is repeated in the next round.
func (t *takeover) scanAfter(now time.Time) time.Time {
	if now.Before(t.scanUntil) {
		return now.Add(scanEvery)
	}
	return now.Add(idleScanEvery)
}

// scanResult is the outcome of a scan.
type scanResult struct {
	// complete means that all that the scan needs was read: whatever had changed before it
	// has been acted on.
	complete bool
	// outdated means that the scan has left jobs because its list of them is outdated.
	outdated bool
}

// replacePreviousRow makes this entry write its row if there is one of an earlier
// incarnation of it: other entries may then take over that incarnation's jobs.
func (t *takeover) replacePreviousRow(rows []joblease.OwnerRow) {
	own := t.dispatcher.settings.Self
	for _, row := range rows {
		if row.Name == own.Name && !strings.HasPrefix(row.Boot, own.Boot+".") && !row.Released {
			t.startRenewal()
		}
	}
}

// revoke revokes the rows of owners that have stopped renewing them.
func (t *takeover) revoke(ctx context.Context) {
	for _, expired := range t.monitor.Expired() {
		if expired.Name == t.dispatcher.settings.Self.Name {
			continue
		}
		expired.Released = true
		putCtx, cancel := context.WithTimeout(ctx, watchTimeout)
		_, err := t.owners.Put(putCtx, expired)
		cancel()
		t.dispatcher.deps.Log.Failure(eventlog.KindDependencyLost).Str(eventlog.FieldDependency, "owner "+expired.Name).Err(err).Msg("")
	}
}

// scheduleScan makes scans frequent for a while when an owner has appeared,
// restarted or left.
func (t *takeover) scheduleScan(now time.Time, rows []joblease.OwnerRow) {
	boots := make(map[string]string, len(rows))
	changed := t.lastBoots == nil
	for _, row := range rows {
		boot := row.Boot
		if row.Released {
			boot += " left"
		}
		boots[row.Name] = boot
		changed = changed || t.lastBoots[row.Name] != boot
	}
	t.lastBoots = boots
	if changed {
		t.scanUntil = now.Add(scanAfterChange)
		t.nextScan = now
	}
}

// scan takes over the open jobs of owners that are gone, and disowns the jobs of this
// entry that are not open any more.
func (t *takeover) scan(ctx context.Context, now time.Time) scanResult {
	scanCtx, cancel := context.WithTimeout(ctx, scanTimeout)
	defer cancel()
	found := newOpenJobs(t.unendedJobs(), t.mayBeOrphan)
	unreadable, err := t.store.EachOpen(scanCtx, found.add)
	if err != nil {
		t.writeFailed(err)
		return scanResult{}
	}
	result := scanResult{complete: t.disownEnded(scanCtx, found.ended())}
	if unreadable > 0 {
		t.dispatcher.deps.Log.Failure(eventlog.KindMalformed).Int(eventlog.FieldCount, unreadable).Str(eventlog.FieldReason, "stored jobs").Msg("")
	}
	found.dropOwn(t.ownJobs())
	t.newestScan.Store(found.jobScan(t.monitor.Owners()))
	t.recordOrphans(boottime.Now(), found.orphans)
	t.waiting = found.overflow.jobs()
	result.outdated = t.adoptAll(ctx, now, found.orphans)
	if t.waiting > 0 {
		t.scanUntil = now.Add(scanAfterChange)
		t.dispatcher.deps.Log.Routine(eventlog.KindDependencyLost).Str(eventlog.FieldDependency, "jobs").
			Int(eventlog.FieldCount, t.waiting).Str(eventlog.FieldReason, string(heldjob.ReasonJobMemory)).Msg("")
	}
	return result
}

// adoptAll takes over the orphans that are assigned to this entry. It reports whether the
// list of them is outdated.
func (t *takeover) adoptAll(ctx context.Context, now time.Time, orphans map[jobstore.Owner][]jobstore.OpenJob) bool {
	for owner, jobs := range orphans {
		if t.dispatcher.releasing.Load() {
			return false
		}
		assigned := t.assignedHere(now, owner, jobs)
		if len(assigned) > 0 && t.adopt(ctx, now, owner, assigned) {
			return true
		}
	}
	return false
}

// mayBeOrphan reports whether a job of the owner may be one that nobody runs.
func (t *takeover) mayBeOrphan(owner jobstore.Owner) bool {
	return !t.monitor.MayOwnJobs(owner.Name, owner.Boot)
}

// ownJobs returns the current identity of this entry and its stored jobs.
func (t *takeover) ownJobs() (self jobstore.Owner, own map[work.JobID]bool) {
	own = make(map[work.JobID]bool)
	t.dispatcher.loop.Do(func(time.Time) {
		self = t.self()
		for _, id := range t.dispatcher.core.StoredJobs() {
			own[id] = true
		}
	})
	return self, own
}

// recordOrphans records since when scans have found jobs of each owner that is gone.
func (t *takeover) recordOrphans(now time.Time, orphans map[jobstore.Owner][]jobstore.OpenJob) {
	maps.DeleteFunc(t.orphanSince, func(owner jobstore.Owner, _ time.Time) bool { return len(orphans[owner]) == 0 })
	for owner := range orphans {
		if _, ok := t.orphanSince[owner]; !ok {
			t.orphanSince[owner] = now
		}
	}
}

// assignedHere returns the jobs that this entry is to take over: those that
// rendezvous hashing over the live owners and this entry assigns to it, and all of
// them after openToAllAfter.
func (t *takeover) assignedHere(now time.Time, owner jobstore.Owner, jobs []jobstore.OpenJob) []jobstore.OpenJob {
	if now.Sub(t.orphanSince[owner]) > openToAllAfter {
		return jobs
	}
	self := t.dispatcher.settings.Self.Name
	liveOwners := append(t.monitor.LiveEntries(), self)
	return slices.DeleteFunc(slices.Clone(jobs), func(job jobstore.OpenJob) bool {
		return assignedEntry(string(job.ID), liveOwners) != self
	})
}

// assignedEntry returns the entry to which rendezvous hashing assigns a job.
func assignedEntry(job string, entries []string) string {
	return slices.MinFunc(entries, func(a, b string) int { return rendezvous.Compare(job, a, b) })
}
