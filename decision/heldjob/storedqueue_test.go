package heldjob

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// submitLabelled hands in a stored job that only minions with a label may run.
func (f *fixture) submitLabelled(id, label string) {
	f.waiter++
	step := storedStep(1)
	step.Label = label
	f.core.Submit(f.now, &Submission{
		Waiter: f.waiter, Host: "h", Path: "/p/" + id, CallerTimeout: time.Second,
		Job: work.Job{ID: work.JobID(id), Steps: []work.Step{step}},
	})
	f.collect()
}

// setFree tells the entry that a sidecar has the room.
func (f *fixture) setFree(sidecar string, room int64) {
	f.core.Updated(f.now, sidecar, f.state(room))
	f.collect()
}

// TestUnsuitableJobsDontBlockTheQueue covers many jobs at the head of the queue
// that no minion may run at present: those behind them get the room that there is.
func TestUnsuitableJobsDontBlockTheQueue(t *testing.T) {
	f := newFixture(t, 1)
	f.core.SetOwnership(f.now, true)
	f.setFree("s0", 0)
	for i := range 5 * maxQueueMisses {
		f.submitLabelled(fmt.Sprintf("a%03d", i), "nowhere")
	}
	f.confirmCreates()
	f.now = f.now.Add(time.Second)
	f.submitStored("b", 1)
	f.confirmCreates()
	must.Len(t, 0, f.starts)
	f.setFree("s0", 10000)
	f.tick(time.Second)
	must.Len(t, 1, f.starts)
	must.EqOp(t, work.JobID("b"), f.starts[0].Job)
}

// TestNewJobsDontPassOlderOnes covers room that becomes free while a job waits:
// one that comes later does not get it.
func TestNewJobsDontPassOlderOnes(t *testing.T) {
	f := newFixture(t, 1)
	f.core.SetOwnership(f.now, true)
	f.setFree("s0", 0)
	f.submitStored("older", 1)
	f.confirmCreates()
	f.now = f.now.Add(time.Millisecond)
	f.setFree("s0", 4000)
	f.submitStored("newer", 1)
	f.confirmCreates()
	f.tick(placementRetryInterval)
	must.Len(t, 1, f.starts)
	must.EqOp(t, work.JobID("older"), f.starts[0].Job)
}

// TestFullSystemRefusesKeptJobs covers jobs that have waited for longer than
// their whole objective: new ones are refused while others wait, and taken again
// when the queue is empty.
func TestFullSystemRefusesKeptJobs(t *testing.T) {
	f := newFixture(t, 1)
	f.core.SetOwnership(f.now, true)
	f.setFree("s0", 0)
	f.submitStored("a", 1)
	f.submitStored("b", 1)
	f.confirmCreates()
	f.now = f.now.Add(time.Second)
	f.setFree("s0", 4000)
	f.tick(time.Millisecond)
	must.Len(t, 1, f.starts)
	f.replyToStarts(session.RefusedNone)
	f.setFree("s0", 0)
	refused := f.submitStored("c", 1)
	must.EqOp(t, Refused, f.replies[refused].Outcome)
	must.EqOp(t, ReasonOverload, f.replies[refused].Reason)
	must.GreaterEq(t, minRetryAfter, f.replies[refused].RetryAfter)
	f.tick(2 * time.Second)
	taken := f.submitStored("d", 1)
	must.MapNotContainsKey(t, f.replies, taken)
	must.Len(t, 1, f.creates)
}
