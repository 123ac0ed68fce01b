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
	// adoptionGather is how long keys are gathered into one question.
	adoptionBatchDelay = 10 * time.Millisecond
	// adoptionTimeout bounds the wait for one sidecar's answer.
	adoptionCallTimeout = 1500 * time.Millisecond
	// adoptionRetry is the pause before a question that had no answer is
	// repeated.
	adoptionRetryDelay = 500 * time.Millisecond
	// adoptionParallel bounds the open questions.
	maxAdoptionCalls = 64
	// adoptionBacklog bounds the keys that wait to be asked for.
	adoptionQueueSize = 4096
)

// adoptionResult is what was found out about a job of a former owner.
type adoptionResult struct {
	key model.JobKey
	// answer is the terminal answer that the former owner stored, if any.
	answer *model.Answer
	event  jobstate.Adopted
	// err is set when the platform could not be read: nothing was decided, and
	// the question can be asked again.
	err error
}

// orphan is a job whose owner is gone.
type orphanedJob struct {
	key model.JobKey
	// claimer is the entry that claimed it.
	claimer model.Incarnation
}

// adopter looks into jobs whose owner is gone: first whether their answer was
// stored, then what the sidecars know of them. Jobs that arrive together share
// the questions.
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

// ask queues a job. It reports false when too many are waiting.
func (a *adopter) enqueue(job orphanedJob) bool {
	select {
	case a.orphans <- job:
		return true
	default:
		return false
	}
}

// run answers queued keys until ctx ends.
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

// withoutAnswer reports the jobs whose answer is stored and returns the rest.
func (a *adopter) reportStored(ctx context.Context, jobs []orphanedJob) []model.JobKey {
	stored := make([]*model.Answer, len(jobs))
	errs := make([]error, len(jobs))
	semaphore := make(chan struct{}, maxAdoptionCalls)
	var group sync.WaitGroup
	for index, job := range jobs {
		semaphore <- struct{}{}
		group.Go(func() {
			defer func() { <-semaphore }()
			stored[index], errs[index] = a.findStored(ctx, job)
		})
	}
	group.Wait()
	var unanswered []model.JobKey
	for index, job := range jobs {
		switch {
		case errs[index] != nil:
			a.report(adoptionResult{key: job.key, err: errs[index]})
		case stored[index] != nil:
			a.report(adoptionResult{key: job.key, answer: stored[index]})
		default:
			unanswered = append(unanswered, job.key)
		}
	}
	return unanswered
}

// stored returns the stored answer of a job, or nil when there is none.
func (a *adopter) findStored(ctx context.Context, job orphanedJob) (*model.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, adoptionCallTimeout)
	defer cancel()
	answer, err := answers.Find(ctx, a.table, a.objects, job.claimer, job.key)
	if errors.Is(err, answers.ErrNotKept) {
		return nil, nil
	}
	return answer, err
}

// lookupAll asks every sidecar at once. The element of a sidecar that did not
// answer is nil.
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

// account sums up what the sidecars know of one job.
func summarize(key model.JobKey, rows []sidecarRow, replies []*wire.LookupReply) jobstate.Adopted {
	sidecars := make([]adoption.Sidecar, len(rows))
	for index, reply := range replies {
		sidecars[index] = adoption.Sidecar{Reply: reply, LeftAt: rows[index].Stopped()}
	}
	return adoption.Summarize(key, sidecars)
}
