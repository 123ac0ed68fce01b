package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/figring/figring/answers"
	"github.com/figring/figring/decision/adoption"
	"github.com/figring/figring/decision/jobstate"
	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
	"github.com/figring/figring/wire"
)

const (
	// adoptionBatchDelay is how long jobs are collected into one batch of lookups.
	adoptionBatchDelay = 10 * time.Millisecond
	// adoptionCallTimeout limits one read of a stored answer and one call to a
	// sidecar.
	adoptionCallTimeout = 1500 * time.Millisecond
	// adoptionRetryDelay is the delay before a failed lookup is retried.
	adoptionRetryDelay = 500 * time.Millisecond
	// maxAdoptionCalls limits the concurrent reads of stored answers, and the
	// concurrent calls to sidecars.
	maxAdoptionCalls = 64
	// adoptionQueueSize limits the jobs that wait to be looked up.
	adoptionQueueSize = 4096
)

// adoptionResult is the result of looking up a job of a former owner.
type adoptionResult struct {
	key model.JobKey
	// answer is the terminal answer that the former owner stored, if any.
	answer *model.Answer
	event  jobstate.Adopted
	// err is set if the platform's store could not be read. Nothing is known about
	// the job then, and the lookup can be retried.
	err error
}

// orphanedJob is a job whose owner is gone.
type orphanedJob struct {
	key model.JobKey
	// claimer is the entry that claimed the job.
	claimer model.Incarnation
}

// adopter looks up jobs whose owner is gone. It first reads the answers that the
// owner stored, then asks the sidecars for their records of the other jobs. Jobs
// that are queued within adoptionBatchDelay share the calls to the sidecars.
type adopter struct {
	self    model.Incarnation
	table   store.Table
	objects store.Objects
	pool    rpcCaller
	orphans chan orphanedJob
	report  func(adoptionResult)
}

func newAdopter(self model.Incarnation, table store.Table, objects store.Objects, pool rpcCaller, report func(adoptionResult)) *adopter {
	return &adopter{
		self:    self,
		table:   table,
		objects: objects,
		pool:    pool,
		orphans: make(chan orphanedJob, adoptionQueueSize),
		report:  report,
	}
}

// enqueue queues a job for lookup. It reports false if the queue is full.
func (a *adopter) enqueue(job orphanedJob) bool {
	select {
	case a.orphans <- job:
		return true
	default:
		return false
	}
}

// run looks up queued jobs until ctx ends.
func (a *adopter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-a.orphans:
			a.resolve(ctx, a.collectBatch(ctx, first))
		}
	}
}

func (a *adopter) collectBatch(ctx context.Context, first orphanedJob) []orphanedJob {
	jobs := []orphanedJob{first}
	timer := time.NewTimer(adoptionBatchDelay)
	defer timer.Stop()
	for {
		select {
		case job := <-a.orphans:
			jobs = append(jobs, job)
		case <-timer.C:
			return jobs
		case <-ctx.Done():
			return jobs
		}
	}
}

func (a *adopter) resolve(ctx context.Context, jobs []orphanedJob) {
	keys := a.reportStored(ctx, jobs)
	if len(keys) == 0 {
		return
	}
	rows, err := listSidecars(ctx, a.table)
	if err != nil {
		for _, key := range keys {
			a.report(adoptionResult{key: key, err: err})
		}
		return
	}
	replies := a.lookupAll(ctx, rows, keys)
	for _, key := range keys {
		a.report(adoptionResult{key: key, event: summarize(key, rows, replies)})
	}
}

// reportStored reports the jobs whose answer is stored, and those for which the
// read failed. It returns the keys of the other jobs.
func (a *adopter) reportStored(ctx context.Context, jobs []orphanedJob) []model.JobKey {
	storedAnswers := make([]*model.Answer, len(jobs))
	errs := make([]error, len(jobs))
	semaphore := make(chan struct{}, maxAdoptionCalls)
	var group sync.WaitGroup
	for index, job := range jobs {
		semaphore <- struct{}{}
		group.Go(func() {
			defer func() { <-semaphore }()
			storedAnswers[index], errs[index] = a.findStored(ctx, job)
		})
	}
	group.Wait()
	var unanswered []model.JobKey
	for index, job := range jobs {
		switch {
		case errs[index] != nil:
			a.report(adoptionResult{key: job.key, err: errs[index]})
		case storedAnswers[index] != nil:
			a.report(adoptionResult{key: job.key, answer: storedAnswers[index]})
		default:
			unanswered = append(unanswered, job.key)
		}
	}
	return unanswered
}

// findStored returns the stored answer of a job, or nil if there is none.
func (a *adopter) findStored(ctx context.Context, job orphanedJob) (*model.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, adoptionCallTimeout)
	defer cancel()
	answer, err := answers.Find(ctx, a.table, a.objects, job.claimer, job.key)
	if errors.Is(err, answers.ErrNotFound) {
		return nil, nil
	}
	return answer, err
}

// lookupAll asks all sidecars concurrently for their records of the jobs. The
// result has one element per row, which is nil if the sidecar did not answer.
func (a *adopter) lookupAll(ctx context.Context, rows []sidecarRow, keys []model.JobKey) []*wire.LookupReply {
	replies := make([]*wire.LookupReply, len(rows))
	semaphore := make(chan struct{}, maxAdoptionCalls)
	var group sync.WaitGroup
	for index := range rows {
		semaphore <- struct{}{}
		group.Go(func() {
			defer func() { <-semaphore }()
			replies[index] = a.lookup(ctx, rows[index].Target.Address, keys)
		})
	}
	group.Wait()
	return replies
}

func (a *adopter) lookup(ctx context.Context, address string, keys []model.JobKey) *wire.LookupReply {
	ctx, cancel := context.WithTimeout(ctx, adoptionCallTimeout)
	defer cancel()
	var reply wire.LookupReply
	request := &wire.LookupRequest{Entry: a.self, Keys: keys}
	if err := a.pool.Call(ctx, address, wire.MethodLookup, request, &reply); err != nil {
		return nil
	}
	return &reply
}

// summarize combines the sidecars' records of one job.
func summarize(key model.JobKey, rows []sidecarRow, replies []*wire.LookupReply) jobstate.Adopted {
	sidecars := make([]adoption.Sidecar, len(rows))
	for index, reply := range replies {
		sidecars[index] = adoption.Sidecar{Reply: reply, LeftAt: rows[index].ShutdownTime()}
	}
	return adoption.Summarize(key, sidecars)
}
