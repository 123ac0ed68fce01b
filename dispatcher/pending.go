package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/figring/figring/jobstore"
	"github.com/figring/figring/session"
)

// Pending returns the number of jobs of a route of which no task has started. It
// counts the jobs of this entry and, if stored jobs may exist, those of the other
// entries and of entries that are gone.
func (d *Dispatcher) Pending(ctx context.Context, route string) int {
	count := 0
	d.loop.Do(func(now time.Time) { count = d.core.PendingJobs(now, route) })
	if !d.storedJobs.ownersExist.Load() {
		return count
	}
	counted := pendingCount{answered: map[string]string{d.settings.Self.Name: d.settings.Self.Boot}, scan: d.storedJobs.newestScan.Load()}
	count += d.countElsewhere(ctx, route, &counted)
	if counted.scan != nil {
		count += counted.scan.pending[route]
	}
	if !counted.complete() {
		count += d.storedPending(route, &counted)
	}
	return count
}

// countElsewhere returns the sum of the counts of the other entries, and records which
// of them have answered.
func (d *Dispatcher) countElsewhere(ctx context.Context, route string, counted *pendingCount) int {
	count := 0
	var mu sync.Mutex
	var wait sync.WaitGroup
	for _, other := range d.deps.Directory.WithRole(session.RoleEntry) {
		if other.Name == d.settings.Self.Name {
			continue
		}
		wait.Go(func() {
			var reply session.PendingReply
			err := d.callEntry(ctx, other, session.MethodPending, &session.PendingRequest{Route: route}, &reply)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				counted.unanswered = true
				return
			}
			count += reply.Count
			counted.answered[other.Name] = reply.Boot
		})
	}
	wait.Wait()
	return count
}

// storedPending counts the stored jobs that are not counted yet. Some of them may have
// started since their progress was stored.
func (d *Dispatcher) storedPending(route string, counted *pendingCount) int {
	count := 0
	for pending, jobs := range d.pendingReads.read(d) {
		if pending.route == route && !counted.includes(pending.owner) {
			count += jobs
		}
	}
	return count
}

// jobScan is the result of a scan of the open jobs.
type jobScan struct {
	// owners has the process incarnations of the entries that owned jobs.
	owners map[string]string
	// orphaned are the owners that were gone, and pending has, by route, the number of
	// their jobs of which no task has started.
	orphaned map[jobstore.Owner]bool
	pending  map[string]int
}

// newJobScan returns the result of a scan that has found the jobs of owners that are gone,
// beside the given identities of the others, by name.
func newJobScan(owners map[string]string, orphans map[jobstore.Owner][]jobstore.OpenJob) *jobScan {
	scan := &jobScan{owners: make(map[string]string, len(owners)), orphaned: make(map[jobstore.Owner]bool), pending: make(map[string]int)}
	for name, boot := range owners {
		scan.owners[name] = processBoot(boot)
	}
	for owner, jobs := range orphans {
		scan.orphaned[owner] = true
		for _, job := range jobs {
			if !job.Progress.Begun() {
				scan.pending[job.Progress.Route]++
			}
		}
	}
	return scan
}

// pendingCount records whose stored jobs a count of pending jobs includes.
type pendingCount struct {
	// answered has the process incarnations of the entries that have counted their jobs.
	// It is empty for an entry of an earlier build.
	answered map[string]string
	// unanswered is true if an entry has not answered.
	unanswered bool
	// scan is the newest scan; nil for none.
	scan *jobScan
}

// complete reports whether the jobs of all owners are included. An entry that was
// restarted does not have the jobs of its earlier process, which count as orphans from
// the next scan on.
func (p *pendingCount) complete() bool {
	if p.unanswered || p.scan == nil {
		return false
	}
	for name, boot := range p.scan.owners {
		if !p.hasAnswered(name, boot) {
			return false
		}
	}
	return true
}

// includes reports whether the jobs of the owner are included.
func (p *pendingCount) includes(owner jobstore.Owner) bool {
	return p.hasAnswered(owner.Name, processBoot(owner.Boot)) || (p.scan != nil && p.scan.orphaned[owner])
}

func (p *pendingCount) hasAnswered(name, boot string) bool {
	answered, ok := p.answered[name]
	return ok && (answered == boot || answered == "")
}
