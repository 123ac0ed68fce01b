package schedule

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/figring/figring/decision/heldjob"
	"github.com/figring/figring/decision/joblease"
	"github.com/figring/figring/decision/keptend"
	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

const (
	// watchEvery and guardEvery are the intervals at which an entry reads the rows, and asks
	// the others about its ownership.
	watchEvery = time.Second
	guardEvery = 400 * time.Millisecond
	// forceAfter is how long the jobs of an owner that a sidecar still hears wait for it.
	forceAfter = 5 * time.Second
)

// keptOwner is the part of an entry that owns stored jobs, as package dispatcher has it.
type keptOwner struct {
	entry      *entry
	store      *keptStore
	generation int
	lease      joblease.Lease
	guard      joblease.RunGuard
	monitor    *joblease.Monitor
	// seen are the owners by name as of the newest read; nil before the first.
	seen        map[string]string
	orphanSince map[string]time.Time
	// missingSince is since when each sidecar has not answered a takeover.
	missingSince map[string]time.Time
	// writes are the writes that wait for the store.
	writes                          []func(now time.Time)
	nextRenewal, nextWatch, nextAsk time.Time
}

func newKeptOwner(e *entry, store *keptStore) *keptOwner {
	return &keptOwner{
		entry: e, store: store, monitor: joblease.NewMonitor(),
		orphanSince: make(map[string]time.Time), missingSince: make(map[string]time.Time),
	}
}

// self is the present identity as an owner.
func (k *keptOwner) self() string { return fmt.Sprintf("%s.%d", k.entry.incarnation(), k.generation) }

// isSelf reports whether the owner is this process, under any identity.
func (k *keptOwner) isSelf(owner string) bool {
	return strings.HasPrefix(owner, k.entry.incarnation()+".")
}

func (k *keptOwner) step(now time.Time) {
	if !k.store.reachable(now, k.entry) {
		k.askOthers(now)
		return
	}
	if !now.Before(k.nextRenewal) || !k.lease.Valid(now) {
		k.nextRenewal = now.Add(joblease.RenewEvery)
		k.renew(now)
	}
	writes := k.writes
	k.writes = nil
	for _, write := range writes {
		write(now)
	}
	k.askOthers(now)
	if !now.Before(k.nextWatch) {
		k.nextWatch = now.Add(watchEvery)
		k.watch(now)
	}
}

// renew renews the row, or begins a new generation if another entry has revoked it.
func (k *keptOwner) renew(now time.Time) {
	row := k.store.owners[k.entry.name]
	if row.Released && row.Boot == k.self() {
		k.generation++
		k.lease = joblease.Lease{}
		k.entry.core.OwnUntil(now, time.Time{})
		k.entry.core.ReacquireJobs()
	}
	k.store.owners[k.entry.name] = joblease.OwnerRow{Name: k.entry.name, Boot: k.self(), Count: row.Count + 1}
	k.lease.Renewed(now)
	k.guard.Renewed(now)
	k.entry.core.OwnUntil(now, k.lease.End())
	k.letRun(now)
}

func (k *keptOwner) letRun(now time.Time) {
	var others []string
	for _, other := range k.entry.sim.entries {
		if other != k.entry {
			others = append(others, other.name)
		}
	}
	k.entry.core.LetRunUntil(k.guard.Until(now, others))
}

// askOthers asks the other entries about the ownership while the lease is not valid.
func (k *keptOwner) askOthers(now time.Time) {
	if k.lease.Valid(now) || now.Before(k.nextAsk) {
		return
	}
	k.nextAsk = now.Add(guardEvery)
	for _, other := range k.entry.sim.entries {
		if other == k.entry || !other.alive(now) || k.entry.sim.entriesCut(now, k.entry, other) {
			continue
		}
		if seen := other.kept.seen; seen == nil || seen[k.entry.name] == k.self() {
			k.guard.Confirmed(other.name, now)
		}
	}
	k.letRun(now)
}

// watch reads the rows, revokes those of owners that are gone, and takes over their jobs.
func (k *keptOwner) watch(now time.Time) {
	var rows []joblease.OwnerRow
	for _, row := range k.store.owners {
		rows = append(rows, row)
	}
	k.monitor.Observe(now, rows)
	k.seen = k.monitor.Owners()
	for _, expired := range k.monitor.Expired() {
		if row := k.store.owners[expired.Name]; expired.Name != k.entry.name && row.Count == expired.Count {
			row.Released = true
			k.store.owners[expired.Name] = row
		}
	}
	k.dropEnded()
	orphans := k.store.orphans(k)
	for owner := range k.orphanSince {
		if len(orphans[owner]) == 0 {
			delete(k.orphanSince, owner)
		}
	}
	for owner, jobs := range orphans {
		if _, known := k.orphanSince[owner]; !known {
			k.orphanSince[owner] = now
		}
		k.adopt(now, owner, jobs)
	}
}

// dropEnded drops the jobs that have ended in the store.
func (k *keptOwner) dropEnded() {
	for _, id := range k.entry.core.UnendedStoredJobs() {
		row := k.store.rows[id]
		switch {
		case row.outcome == 0:
		case row.cancelledUnder != "" && k.isSelf(row.cancelledUnder):
			k.entry.core.EndedElsewhere(id)
		default:
			k.entry.core.Disown(id)
		}
	}
}

// adopt takes over the jobs of an owner that is gone, if no run of them can be active.
func (k *keptOwner) adopt(now time.Time, owner string, jobs []*keptRow) {
	request := session.AdoptRequest{Owner: jobs[0].ownerName, Boot: owner[:strings.LastIndexByte(owner, '.')], Adopter: k.self(), Force: now.Sub(k.orphanSince[owner]) > forceAfter}
	for _, row := range jobs {
		request.Jobs = append(request.Jobs, row.job.ID)
	}
	ends := make(map[*sidecar][]session.TaskEnd)
	since, busy, missing := k.orphanSince[owner], false, false
	for _, sidecar := range k.entry.sim.sidecars {
		reply := session.AdoptReply{Incomplete: true}
		if k.entry.sim.connected(k.entry, sidecar) {
			reply = sidecar.core.Adopt(now, &request)
		}
		if !reply.Incomplete {
			delete(k.missingSince, sidecar.name)
			ends[sidecar] = reply.Ends
			busy = busy || reply.Busy || reply.OwnerAlive
			continue
		}
		missing = true
		if _, known := k.missingSince[sidecar.name]; !known {
			k.missingSince[sidecar.name] = now
		}
		if k.missingSince[sidecar.name].After(since) {
			since = k.missingSince[sidecar.name]
		}
	}
	if busy || (missing && now.Sub(since) < joblease.AdoptPatience) {
		return
	}
	k.entry.sim.logEvent("%s takes over %d jobs of %s", k.self(), len(jobs), owner)
	for _, row := range jobs {
		k.takeOver(now, row, ends, missing)
	}
}

// takeOver writes this entry as the owner of a job with the ends that it was told.
func (k *keptOwner) takeOver(now time.Time, row *keptRow, ends map[*sidecar][]session.TaskEnd, missing bool) {
	before := row.epoch.FromStore()
	for sidecar, told := range ends {
		var stored []session.TaskEnd
		for _, end := range told {
			if end.Task.Job == row.job.ID && keptend.IsCurrent(end, before) {
				row.addEnd(end)
				stored = append(stored, end)
			}
		}
		if len(stored) > 0 {
			confirmed := session.AdoptRequest{Adopter: k.self(), ConfirmedEnds: stored}
			confirmed.SetReleased(stored, nil)
			sidecar.core.Adopt(now, &confirmed)
		}
	}
	row.epoch = row.epoch.AfterTakeover(!missing)
	row.owner, row.ownerName = k.self(), k.entry.name
	k.entry.core.AddStoredJob(now, heldjob.StoredJob{
		Job: row.job, Route: k.entry.sim.routes[0], Accepted: row.accepted, Epoch: row.epoch, Failures: row.failuresCopy(),
		Done: func(step, index int) bool { return row.done[work.TaskKey{Job: row.job.ID, Step: step, Index: index}] },
	})
}

// perform carries out a write that the core asks for, now or once the store can be reached.
func (k *keptOwner) perform(action heldjob.Action) {
	core, self := k.entry.core, k.self()
	switch action := action.(type) {
	case heldjob.CreateJob:
		k.writes = append(k.writes, func(now time.Time) {
			k.store.create(now, action, self, k.entry.name)
			core.Created(now, action.Job.ID, true, now)
			if self != k.self() {
				core.ReacquireJob(action.Job.ID)
			}
		})
	case heldjob.SaveJob:
		k.writes = append(k.writes, func(time.Time) {
			core.Saved(action.Job, k.store.save(action, k))
		})
	case heldjob.EndJob:
		k.writes = append(k.writes, func(time.Time) {
			core.Saved(action.Job, k.store.end(action, k))
		})
	}
}

// answerOrphans tells a sidecar what the store has of the ends that nobody has claimed.
func (k *keptOwner) answerOrphans(now time.Time, sidecar *sidecar, ends []session.TaskEnd) {
	if !k.store.reachable(now, k.entry) {
		return
	}
	var answer keptend.Answer
	for _, end := range ends {
		answer.Add(end, k.find(now, end))
	}
	request := answer.Request(sidecar.name)
	sidecar.core.Adopt(now, &request)
}

// find returns what the store has of an end.
func (k *keptOwner) find(now time.Time, end session.TaskEnd) keptend.State {
	if own, stored, since := k.entry.core.TaskEndStored(end); own {
		return keptend.Of(stored, since)
	}
	row := k.store.rows[end.Task.Job]
	if row.outcome != 0 && row.cancelledUnder != "" && !k.ownerKnowsEnd(now, row) {
		return keptend.Needed
	}
	counted := end.End == work.EndFailed && row.failures[end.Task] >= end.Attempt
	return keptend.Of(row.outcome != 0 || counted || row.done[end.Task], end.Epoch.Relate(row.epoch))
}

// ownerKnowsEnd tells the owner of a cancelled job of its end, unless it owns nothing.
func (k *keptOwner) ownerKnowsEnd(now time.Time, row *keptRow) bool {
	sim := k.entry.sim
	owner := sim.entries[slices.IndexFunc(sim.entries, func(e *entry) bool { return e.name == row.ownerName })]
	if owner == k.entry || (owner.alive(now) && !sim.entriesCut(now, k.entry, owner)) {
		owner.core.EndedElsewhere(row.job.ID)
		return true
	}
	ownerRow := k.store.owners[owner.name]
	return !ownerRow.HeldBy(row.cancelledUnder)
}
