package heldjob

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// keepLabelled hands in a stored job that only minions with a label may run.
func (f *fixture) keepLabelled(id, label string) {
	f.waiter++
	step := keptStep(1)
	step.Label = label
	f.core.Submit(f.now, &Submission{
		Waiter: f.waiter, Host: "h", Path: "/p/" + id, CallerTimeout: time.Second,
		Job: work.Job{ID: work.JobID(id), Steps: []work.Step{step}},
	})
	f.collect()
}

// free tells the entry that a sidecar has the room.
func (f *fixture) free(sidecar string, room int64) {
	f.core.Updated(f.now, sidecar, f.state(room))
	f.collect()
}

// TestUnsuitableJobsDontBlockTheQueue covers many jobs at the head of the queue
// that no minion may run at present: those behind them get the room that there is.
func TestUnsuitableJobsDontBlockTheQueue(t *testing.T) {
	f := newFixture(t, 1)
	f.core.SetOwnership(f.now, true)
	f.free("s0", 0)
	for i := range 5 * maxQueueMisses {
		f.keepLabelled(fmt.Sprintf("a%03d", i), "nowhere")
	}
	f.created()
	f.now = f.now.Add(time.Second)
	f.keep("b", 1)
	f.created()
	must.Len(t, 0, f.orders)
	f.free("s0", 10000)
	f.tick(time.Second)
	must.Len(t, 1, f.orders)
	must.EqOp(t, work.JobID("b"), f.orders[0].Job)
}

// TestNewJobsDontPassOlderOnes covers room that becomes free while a job waits:
// one that comes later does not get it.
func TestNewJobsDontPassOlderOnes(t *testing.T) {
	f := newFixture(t, 1)
	f.core.SetOwnership(f.now, true)
	f.free("s0", 0)
	f.keep("older", 1)
	f.created()
	f.now = f.now.Add(time.Millisecond)
	f.free("s0", 4000)
	f.keep("newer", 1)
	f.created()
	f.tick(replaceInterval)
	must.Len(t, 1, f.orders)
	must.EqOp(t, work.JobID("older"), f.orders[0].Job)
}

// TestFullSystemRefusesKeptJobs covers jobs that have waited for longer than
// their whole objective: new ones are refused while others wait, and taken again
// when the queue is empty.
func TestFullSystemRefusesKeptJobs(t *testing.T) {
	f := newFixture(t, 1)
	f.core.SetOwnership(f.now, true)
	f.free("s0", 0)
	f.keep("a", 1)
	f.keep("b", 1)
	f.created()
	f.now = f.now.Add(time.Second)
	f.free("s0", 4000)
	f.tick(time.Millisecond)
	must.Len(t, 1, f.orders)
	f.take(session.RefusedNone)
	f.free("s0", 0)
	refused := f.keep("c", 1)
	must.EqOp(t, Refused, f.replies[refused].Outcome)
	must.EqOp(t, ReasonOverload, f.replies[refused].Reason)
	must.GreaterEq(t, minRetryAfter, f.replies[refused].RetryAfter)
	f.tick(2 * time.Second)
	taken := f.keep("d", 1)
	must.MapNotContainsKey(t, f.replies, taken)
	must.Len(t, 1, f.creates)
}
