package dispatcher

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/figring/figring/common/boottime"
	"github.com/figring/figring/common/eventlog"
	"github.com/figring/figring/common/pause"
	"github.com/figring/figring/common/rendezvous"
	"github.com/figring/figring/decision/joblease"
	"github.com/figring/figring/jobstore"
	"github.com/figring/figring/work"
)

const (
	// watchEvery is how often the rows of the owners are read while there are
	// any, idleWatchEvery while there are none.
	watchEvery     = time.Second
	idleWatchEvery = 2 * time.Second
	// watchTimeout bounds one read of the rows.
	watchTimeout = 1500 * time.Millisecond
	// scanAfterChange is how long open jobs are looked for after the owners have
	// changed: a write that was held up may add one late.
	scanAfterChange = 20 * time.Second
	// scanEvery is how often open jobs are looked for then, calmScanEvery else.
	scanEvery     = 2 * time.Second
	idleScanEvery = 30 * time.Second
	// scanTimeout bounds one scan.
	scanTimeout = 10 * time.Second
	// adoptTimeout bounds one call to a sidecar, adoptPause is the pause between
	// two while runs are being stopped, and adoptPatience is how long a sidecar
	// may be out of reach before its runs count as lapsed.
	adoptTimeout  = 600 * time.Millisecond
	adoptPause    = 150 * time.Millisecond
	adoptPatience = 3 * time.Second
	// openToAllAfter is how long the jobs of a life wait for the entry that they
	// fall to, or for their owner, where that lives and has lost the store. After
	// that any entry takes them.
	openToAllAfter = 5 * time.Second
)

// takeOverLoop follows the owners and takes over the jobs of those that are gone.
func (k *storedJobs) takeOverLoop(ctx context.Context) {
	t := &takeover{storedJobs: k, watch: joblease.NewWatch(), orphanSince: make(map[jobstore.Owner]time.Time)}
	for ctx.Err() == nil {
		t.runRound(ctx)
		delay := idleWatchEvery
		if k.ownersExist.Load() {
			delay = watchEvery
		}
		// The end of ctx ends the loop.
		_ = pause.For(ctx, delay)
	}
}

// takeover is the state of takeOverLoop.
type takeover struct {
	*storedJobs
	watch *joblease.Watch
	// lastBoots are the lives of owners as of the last read, by the owners' names.
	lastBoots map[string]string
	// scanUntil is until when open jobs are looked for often.
	scanUntil, nextScan time.Time
	// orphanSince is since when jobs of a life were found that is gone.
	orphanSince map[jobstore.Owner]time.Time
}

func (t *takeover) runRound(ctx context.Context) {
	now := boottime.Now()
	limited, cancel := context.WithTimeout(ctx, watchTimeout)
	beats, err := t.owners.List(limited)
	cancel()
	if err != nil {
		t.writeFailed(err)
		return
	}
	t.watch.Observe(now, beats)
	t.ownersExist.Store(t.watch.Any())
	t.noOwners.Store(!t.watch.Any())
	t.replacePreviousRow(beats)
	t.revoke(ctx)
	t.scheduleScan(now, beats)
	if !t.watch.Any() || now.Before(t.nextScan) {
		return
	}
	t.nextScan = now.Add(idleScanEvery)
	if now.Before(t.scanUntil) {
		t.nextScan = now.Add(scanEvery)
	}
	t.scan(ctx, now)
}

// replacePreviousRow makes this entry write its row when a former life of it has left
// one: that life's jobs are free from then on.
func (t *takeover) replacePreviousRow(beats []joblease.Beat) {
	own := t.dispatcher.settings.Self
	for _, beat := range beats {
		if beat.Name == own.Name && !strings.HasPrefix(beat.Boot, own.Boot+".") && !beat.Left {
			t.startRenewal()
		}
	}
}

// revoke ends the ownership of lives that have stopped renewing.
func (t *takeover) revoke(ctx context.Context) {
	for _, lapsed := range t.watch.Lapsed() {
		if lapsed.Name == t.dispatcher.settings.Self.Name {
			continue
		}
		lapsed.Left = true
		limited, cancel := context.WithTimeout(ctx, watchTimeout)
		_, err := t.owners.Put(limited, lapsed)
		cancel()
		t.dispatcher.deps.Log.Failure(eventlog.KindLost).Str(eventlog.FieldName, "owner "+lapsed.Name).Err(err).Msg("")
	}
}

// scheduleScan makes scans frequent when a life has begun or ended.
func (t *takeover) scheduleScan(now time.Time, beats []joblease.Beat) {
	boots := make(map[string]string, len(beats))
	changed := t.lastBoots == nil
	for _, beat := range beats {
		boot := beat.Boot
		if beat.Left {
			boot += " left"
		}
		boots[beat.Name] = boot
		changed = changed || t.lastBoots[beat.Name] != boot
	}
	t.lastBoots = boots
	if changed {
		t.scanUntil = now.Add(scanAfterChange)
		t.nextScan = now
	}
}

// scan takes over the open jobs of lives that are gone.
func (t *takeover) scan(ctx context.Context, now time.Time) {
	limited, cancel := context.WithTimeout(ctx, scanTimeout)
	defer cancel()
	open, unreadable, err := t.store.ListOpen(limited)
	if err != nil {
		t.writeFailed(err)
		return
	}
	if unreadable > 0 {
		t.dispatcher.deps.Log.Failure(eventlog.KindMalformed).Int(eventlog.FieldCount, unreadable).Str(eventlog.FieldReason, "stored jobs").Msg("")
	}
	var self jobstore.Owner
	own := make(map[work.JobID]bool)
	t.dispatcher.loop.Do(func(time.Time) {
		self = t.self()
		for _, id := range t.dispatcher.core.StoredJobs() {
			own[id] = true
		}
	})
	orphans := make(map[jobstore.Owner][]jobstore.Open)
	for _, one := range open {
		if owner := one.Progress.Owner; owner != self && !own[one.ID] && !t.watch.Alive(owner.Name, owner.Boot) {
			orphans[owner] = append(orphans[owner], one)
		}
	}
	t.countPendingOrphans(orphans)
	for owner := range t.orphanSince {
		if len(orphans[owner]) == 0 {
			delete(t.orphanSince, owner)
		}
	}
	for owner, jobs := range orphans {
		if _, ok := t.orphanSince[owner]; !ok {
			t.orphanSince[owner] = now
		}
		if assigned := t.assignedHere(now, owner, jobs); len(assigned) > 0 {
			t.adopt(ctx, now, owner, assigned)
		}
	}
}

// countPendingOrphans takes note of the jobs that wait for an owner.
func (t *takeover) countPendingOrphans(orphans map[jobstore.Owner][]jobstore.Open) {
	counts := make(map[string]int)
	for _, jobs := range orphans {
		for _, job := range jobs {
			if !job.Progress.Begun() {
				counts[job.Progress.Route]++
			}
		}
	}
	t.pendingOrphans.Store(&counts)
}

// assignedHere returns the jobs that fall to this entry: the living entries share them,
// and after a while any entry takes what is left.
func (t *takeover) assignedHere(now time.Time, owner jobstore.Owner, jobs []jobstore.Open) []jobstore.Open {
	if now.Sub(t.orphanSince[owner]) > openToAllAfter {
		return jobs
	}
	self := t.dispatcher.settings.Self.Name
	living := append(t.watch.Living(), self)
	return slices.DeleteFunc(slices.Clone(jobs), func(job jobstore.Open) bool {
		return assignedEntry(string(job.ID), living) != self
	})
}

// assignedEntry returns the entry that a job falls to, by rendezvous hashing.
func assignedEntry(job string, entries []string) string {
	return slices.MinFunc(entries, func(a, b string) int { return rendezvous.Compare(job, a, b) })
}
