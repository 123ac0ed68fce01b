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
	adoptionGather = 10 * time.Millisecond
	// adoptionTimeout bounds the wait for one sidecar's answer.
	adoptionTimeout = 1500 * time.Millisecond
	// adoptionRetry is the pause before a question that had no answer is
	// repeated.
	adoptionRetry = 500 * time.Millisecond
	// adoptionParallel bounds the open questions.
	adoptionParallel = 64
	// adoptionBacklog bounds the keys that wait to be asked for.
	adoptionBacklog = 4096
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
type orphan struct {
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
	orphans chan orphan
	report  func(adoptionResult)
}

func newAdopter(self model.Incarnation, table store.Table, objects store.Objects, pool rpcCaller, report func(adoptionResult)) *adopter {
	return &adopter{
		self:    self,
		table:   table,
		objects: objects,
		pool:    pool,
		orphans: make(chan orphan, adoptionBacklog),
		report:  report,
	}
}

// ask queues a job. It reports false when too many are waiting.
func (a *adopter) ask(job orphan) bool {
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
			a.answer(ctx, a.gather(ctx, first))
		}
	}
}

func (a *adopter) gather(ctx context.Context, first orphan) []orphan {
	jobs := []orphan{first}
	timer := time.NewTimer(adoptionGather)
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

func (a *adopter) answer(ctx context.Context, jobs []orphan) {
	keys := a.withoutAnswer(ctx, jobs)
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
		a.report(adoptionResult{key: key, event: account(key, rows, replies)})
	}
}

// withoutAnswer reports the jobs whose answer is stored and returns the rest.
func (a *adopter) withoutAnswer(ctx context.Context, jobs []orphan) []model.JobKey {
	found := make([]*model.Answer, len(jobs))
	failed := make([]error, len(jobs))
	slots := make(chan struct{}, adoptionParallel)
	var wait sync.WaitGroup
	for index, job := range jobs {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			found[index], failed[index] = a.stored(ctx, job)
		})
	}
	wait.Wait()
	var rest []model.JobKey
	for index, job := range jobs {
		switch {
		case failed[index] != nil:
			a.report(adoptionResult{key: job.key, err: failed[index]})
		case found[index] != nil:
			a.report(adoptionResult{key: job.key, answer: found[index]})
		default:
			rest = append(rest, job.key)
		}
	}
	return rest
}

// stored returns the stored answer of a job, or nil when there is none.
func (a *adopter) stored(ctx context.Context, job orphan) (*model.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, adoptionTimeout)
	defer cancel()
	answer, err := answers.Find(ctx, a.table, a.objects, job.claimer, job.key)
	if errors.Is(err, answers.ErrNotFound) {
		return nil, nil
	}
	return answer, err
}

// lookupAll asks every sidecar at once. The element of a sidecar that did not
// answer is nil.
func (a *adopter) lookupAll(ctx context.Context, rows []sidecarRow, keys []model.JobKey) []*wire.LookupReply {
	replies := make([]*wire.LookupReply, len(rows))
	slots := make(chan struct{}, adoptionParallel)
	var wait sync.WaitGroup
	for index := range rows {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			replies[index] = a.lookup(ctx, rows[index].Target.Address, keys)
		})
	}
	wait.Wait()
	return replies
}

func (a *adopter) lookup(ctx context.Context, address string, keys []model.JobKey) *wire.LookupReply {
	ctx, cancel := context.WithTimeout(ctx, adoptionTimeout)
	defer cancel()
	var reply wire.LookupReply
	request := &wire.LookupRequest{Entry: a.self, Keys: keys}
	if err := a.pool.Call(ctx, address, wire.MethodLookup, request, &reply); err != nil {
		return nil
	}
	return &reply
}

// account sums up what the sidecars know of one job.
func account(key model.JobKey, rows []sidecarRow, replies []*wire.LookupReply) jobstate.Adopted {
	sidecars := make([]adoption.Sidecar, len(rows))
	for index, reply := range replies {
		sidecars[index] = adoption.Sidecar{Reply: reply, LeftAt: rows[index].Stopped()}
	}
	return adoption.Account(key, sidecars)
}
