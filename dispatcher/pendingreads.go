package dispatcher

import (
	"context"

	"golang.org/x/sync/singleflight"

	"github.com/figring/figring/jobstore"
)

// pendingReads counts the pending jobs in the job store. Requests that come during a read of
// all open jobs share its result: clients must not be able to make the entry read them many
// times at once.
type pendingReads struct{ group singleflight.Group }

// pendingKey identifies the jobs that count together.
type pendingKey struct {
	owner jobstore.Owner
	route string
}

// read returns the number of stored jobs of which no task has started as far as is stored;
// nothing if they can't be read.
func (r *pendingReads) read(d *Dispatcher) map[pendingKey]int {
	result, err, _ := r.group.Do("", func() (any, error) {
		ctx, cancel := context.WithTimeout(d.tasksCtx, findTimeout)
		defer cancel()
		pending := make(map[pendingKey]int)
		_, err := d.deps.Jobs.EachOpen(ctx, func(job *jobstore.OpenJob, _ int) {
			if !job.Progress.Begun() {
				pending[pendingKey{job.Progress.Owner, job.Progress.Route}]++
			}
		})
		return pending, err
	})
	if err != nil {
		d.storedJobs.writeFailed(err)
		return nil
	}
	return result.(map[pendingKey]int)
}
