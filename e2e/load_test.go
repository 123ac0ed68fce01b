package e2e

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/figring/figring/api"
)

// finalLimit bounds the time until a job of a load has its final answer.
const finalLimit = 45 * time.Second

// loadShape describes a background load.
type loadShape struct {
	// callers is the number of jobs in progress at once.
	callers int
	tasks   int
	runMs   int
	// once submits each job a single time, without resubmission.
	once bool
	// pick chooses the entry of a submission.
	pick func() *process
}

// load submits jobs in the background.
type load struct {
	caller *caller
	shape  loadShape
	ended  atomic.Bool
	wait   sync.WaitGroup

	mu    sync.Mutex
	final []finalAnswer
}

// finalAnswer is how a job of a load ended for its caller.
type finalAnswer struct {
	key    string
	begun  time.Time
	ended  time.Time
	answer *api.JobResponse
	err    error
}

// startLoad starts a load; stop ends it.
func (l *caller) startLoad(shape loadShape) *load {
	running := &load{caller: l, shape: shape}
	for range shape.callers {
		running.wait.Go(running.run)
	}
	l.t.Cleanup(func() { running.ended.Store(true) })
	return running
}

func (o *load) run() {
	for !o.ended.Load() {
		job := o.caller.newJob(o.shape.tasks, o.shape.runMs)
		one := finalAnswer{key: job.Key, begun: time.Now()}
		if o.shape.once {
			one.answer, one.err = o.caller.submit(o.caller.t.Context(), o.shape.pick(), job)
		} else {
			one.answer, one.err = o.caller.submitUntil(job, finalLimit, o.shape.pick)
		}
		one.ended = time.Now()
		o.mu.Lock()
		o.final = append(o.final, one)
		o.mu.Unlock()
	}
}

// stop ends the load once every job has its final answer and returns them.
func (o *load) stop() []finalAnswer {
	o.ended.Store(true)
	o.wait.Wait()
	return o.finals()
}

func (o *load) finals() []finalAnswer {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]finalAnswer(nil), o.final...)
}

// complete counts the jobs that were answered complete.
func complete(final []finalAnswer) int {
	count := 0
	for _, one := range final {
		if one.err == nil && one.answer.State == api.JobComplete {
			count++
		}
	}
	return count
}

// everyEntry picks one entry after the other.
func (c *cluster) everyEntry() func() *process {
	var next atomic.Uint64
	return func() *process {
		entries := c.entryList()
		return entries[next.Add(1)%uint64(len(entries))]
	}
}

// onlyEntry picks always the same entry.
func (c *cluster) onlyEntry(index int) func() *process {
	return func() *process { return c.entryList()[index] }
}
