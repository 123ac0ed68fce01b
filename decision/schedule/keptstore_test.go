package schedule

import (
	"maps"
	"slices"
	"time"

	"github.com/figring/figring/decision/heldjob"
	"github.com/figring/figring/decision/joblease"
	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// keptStore simulates the table with the stored jobs and the rows of their owners.
type keptStore struct {
	sim       *simulation
	downUntil time.Time
	// cutUntil is until when an entry does not reach the store.
	cutUntil map[string]time.Time
	rows     map[work.JobID]*keptRow
	owners   map[string]joblease.OwnerRow
}

// keptRow is the stored state of a job.
type keptRow struct {
	job              work.Job
	accepted         time.Time
	owner, ownerName string
	epoch            session.Epoch
	done             map[work.TaskKey]bool
	failures         map[work.TaskKey]int
	// outcome is set once the job has ended, and cancelledUnder is the owner under which
	// another entry has cancelled it.
	outcome        heldjob.Outcome
	cancelledUnder string
}

func (r *keptRow) addEnd(end session.TaskEnd) {
	if end.End == work.EndDone {
		r.done[end.Task] = true
		return
	}
	r.failures[end.Task] = max(r.failures[end.Task], end.Attempt)
}

func (r *keptRow) failuresCopy() map[work.TaskKey]int { return maps.Clone(r.failures) }

func newKeptStore(sim *simulation) *keptStore {
	return &keptStore{sim: sim, cutUntil: make(map[string]time.Time), rows: make(map[work.JobID]*keptRow), owners: make(map[string]joblease.OwnerRow)}
}

// reachable reports whether the entry reaches the store.
func (s *keptStore) reachable(now time.Time, e *entry) bool {
	return !now.Before(s.downUntil) && !now.Before(s.cutUntil[e.name])
}

// orphans returns the open jobs whose owners are gone, by owner, as the entry sees them.
func (s *keptStore) orphans(k *keptOwner) map[string][]*keptRow {
	found := make(map[string][]*keptRow)
	own := k.entry.core.StoredJobs()
	for _, row := range s.rows {
		if row.outcome == 0 && !slices.Contains(own, row.job.ID) && !k.monitor.MayOwnJobs(row.ownerName, row.owner) {
			found[row.owner] = append(found[row.owner], row)
		}
	}
	return found
}

func (s *keptStore) create(now time.Time, action heldjob.CreateJob, owner, name string) {
	s.rows[action.Job.ID] = &keptRow{
		job: action.Job, accepted: now, owner: owner, ownerName: name, epoch: session.FirstEpoch,
		done: make(map[work.TaskKey]bool), failures: make(map[work.TaskKey]int),
	}
}

// save writes progress if the job is open and no other process has taken it over.
func (s *keptStore) save(action heldjob.SaveJob, by *keptOwner) bool {
	row := s.rows[action.Job]
	if row.outcome != 0 || !by.isSelf(row.owner) {
		return false
	}
	row.owner, row.epoch = by.self(), action.Epoch
	for _, task := range action.Progress.Done {
		row.done[task] = true
	}
	row.failures = maps.Clone(action.Progress.Failures)
	return true
}

// end writes the outcome of a job under the same condition.
func (s *keptStore) end(action heldjob.EndJob, by *keptOwner) bool {
	row := s.rows[action.Job]
	if row.outcome != 0 || !by.isSelf(row.owner) {
		return false
	}
	row.outcome, row.epoch = action.Outcome, action.Epoch
	s.sim.logEvent("%s has ended: %v", action.Job, action.Outcome)
	return true
}
