package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/figring/figring/session"
)

// Pending returns the number of jobs of a route of which no task has started. It
// counts the jobs of this entry and, if stored jobs may exist, those of the other
// entries and of entries that are gone.
func (d *Dispatcher) Pending(ctx context.Context, route string) int {
	count := 0
	d.loop.Do(func(time.Time) { count = d.core.PendingJobs(route) })
	if !d.storedJobs.ownersExist.Load() {
		return count
	}
	if orphans := d.storedJobs.pendingOrphans.Load(); orphans != nil {
		count += (*orphans)[route]
	}
	others, unanswered := d.countElsewhere(ctx, route)
	return count + others + d.storedPending(ctx, route, unanswered)
}

// countElsewhere returns the sum of the counts of the other entries, and the
// entries that did not answer.
func (d *Dispatcher) countElsewhere(ctx context.Context, route string) (int, map[string]bool) {
	count, unanswered := 0, make(map[string]bool)
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
			count += reply.Count
			if err != nil {
				unanswered[other.Name] = true
			}
		})
	}
	wait.Wait()
	return count, unanswered
}

// storedPending counts the stored jobs of the given owners, which do not answer.
// Some of these jobs may have started since their progress was stored.
func (d *Dispatcher) storedPending(ctx context.Context, route string, owners map[string]bool) int {
	if len(owners) == 0 {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	open, _, err := d.deps.Jobs.ListOpen(ctx)
	if err != nil {
		d.storedJobs.writeFailed(err)
		return 0
	}
	count := 0
	for _, job := range open {
		if owners[job.Progress.Owner.Name] && job.Progress.Route == route && !job.Progress.Begun() {
			count++
		}
	}
	return count
}
