package execution

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// orderFrom orders a task that resumes from a checkpoint.
func (f *fixture) orderFrom(task work.TaskKey, checkpoint work.Checkpoint) {
	f.request++
	refusals := f.core.Order(f.now, testEntry, &session.StartRequest{
		Echo: session.StampOf(f.now), Number: f.request,
		Tasks: []session.StartTask{{
			Task: task, Need: work.Resources{MilliCPU: 4000, MemMB: 10}, Stored: true, Checkpoint: checkpoint,
			Estimate: time.Second, Slack: time.Second, MaxWait: time.Second, ExpectedWait: time.Second,
		}},
	})
	must.EqOp(f.t, session.RefusedNone, refusals[0])
}

// startFrom orders a task that resumes from a checkpoint and lets the minion
// start it.
func (f *fixture) startFrom(task work.TaskKey, checkpoint work.Checkpoint) Start {
	f.orderFrom(task, checkpoint)
	started := f.starts()
	must.Len(f.t, 1, started)
	f.core.StartAnswered(f.now, started[0], Started)
	return started[0]
}

func (f *fixture) onlyEvent() session.Event {
	events := f.core.EventsFor(testEntry)
	must.Len(f.t, 1, events)
	return events[0]
}

// TestStartCarriesCheckpoint checks that a start carries the checkpoint of its
// order, also when the start has to be sent again.
func TestStartCarriesCheckpoint(t *testing.T) {
	f := newFixture(t)
	f.orderFrom(key("j", 0), "c-1")
	first := f.starts()[0]
	must.EqOp(t, work.Checkpoint("c-1"), first.Checkpoint)
	f.core.StartAnswered(f.now, first, StartNumberUsed)
	again := f.starts()[0]
	must.EqOp(t, work.Checkpoint("c-1"), again.Checkpoint)
	must.Greater(t, first.Number, again.Number)
}

// TestEndReportsNewestCheckpoint checks that the event of an end carries the
// newest checkpoint: the end's own, else the last listed one, else that of the
// order.
func TestEndReportsNewestCheckpoint(t *testing.T) {
	cases := []struct {
		name   string
		listed work.Checkpoint
		ended  work.Checkpoint
		want   work.Checkpoint
	}{
		{"nothing saved since the start", "", "", "c-1"},
		{"listed at work", "c-2", "", "c-2"},
		{"saved at the end", "c-2", "c-3", "c-3"},
	}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			f := newFixture(t)
			task := key("j", 0)
			start := f.startFrom(task, "c-1")
			f.list([]RunningRun{{Task: task, Number: start.Number, Percent: 10, Checkpoint: one.listed}}, nil)
			f.list(nil, []FinishedRun{{Sequence: 1, Task: task, Number: start.Number, End: work.EndLapsed, Checkpoint: one.ended}})
			must.EqOp(t, work.EndLapsed, f.onlyEvent().End)
			must.EqOp(t, one.want, f.onlyEvent().Checkpoint)
		})
	}
}

// TestLostMinionKeepsCheckpoint checks that a run that ended with its minion is
// reported with the checkpoint that was listed before.
func TestLostMinionKeepsCheckpoint(t *testing.T) {
	f := newFixture(t)
	task := key("j", 0)
	start := f.startFrom(task, "")
	f.list([]RunningRun{{Task: task, Number: start.Number, Percent: 50, Checkpoint: "c-5"}}, nil)
	f.core.PollFailed(f.now, true)
	must.EqOp(t, work.EndCrashed, f.onlyEvent().End)
	must.EqOp(t, work.Checkpoint("c-5"), f.onlyEvent().Checkpoint)
}

// TestRestartedSidecarReportsCheckpoint covers a run that lapsed while the
// sidecar was down. The entry that claims the run gets its checkpoint, and the
// minion need not keep the end.
func TestRestartedSidecarReportsCheckpoint(t *testing.T) {
	f := newFixture(t)
	f.core = New(200)
	f.core.Heartbeat(f.now, session.Minion{ID: "i-1", Service: "desk", Born: testBorn, Capacity: work.Resources{MilliCPU: 10000, MemMB: 1000}}, false)
	task := key("j", 0)
	f.list(nil, []FinishedRun{{Sequence: 7, Task: task, Number: 1, End: work.EndLapsed, Checkpoint: "c-9"}})
	must.EqOp(t, 7, f.core.AckedUpTo())
	must.Len(t, 0, f.core.OrphansToQuery(f.now.Add(time.Second)))
	f.core.Hello(f.now, HelloParams{Entry: testEntry, Boot: testBoot, KeepsJobs: true, Claims: []session.Claim{{Task: task, Stored: true}}})
	must.EqOp(t, work.EndLapsed, f.onlyEvent().End)
	must.EqOp(t, work.Checkpoint("c-9"), f.onlyEvent().Checkpoint)
}

// TestCheckpointDoesNotReplaceEnd covers a task that is done and whose later
// run, in the same listing, ended with a checkpoint only. The later run must not
// replace the end that decides the job.
func TestCheckpointDoesNotReplaceEnd(t *testing.T) {
	f := newFixture(t)
	f.core = New(200)
	task := key("j", 0)
	f.list(nil, []FinishedRun{
		{Sequence: 1, Task: task, Number: 1, End: work.EndDone, Checkpoint: "c-1"},
		{Sequence: 2, Task: task, Number: 2, End: work.EndLapsed, Checkpoint: "c-2"},
	})
	reply := f.core.Adopt(f.now, &session.AdoptRequest{Owner: testEntry, Boot: testBoot, Jobs: []work.JobID{"j"}})
	must.Eq(t, []session.TaskEnd{{Task: task, End: work.EndDone, Attempt: 1}}, reply.Ends)
}

// TestAdoptionReportsCheckpoints covers a run in progress whose entry is gone.
// The entry that adopts the job gets the run's newest checkpoint, both before
// and after the run is stopped.
func TestAdoptionReportsCheckpoints(t *testing.T) {
	f := newFixture(t)
	task := key("j", 0)
	start := f.startFrom(task, "")
	running := RunningRun{Task: task, Number: start.Number, Percent: 10, Checkpoint: "c-1"}
	f.list([]RunningRun{running}, nil)
	f.now = f.now.Add(SilenceLimit + time.Second/10)
	f.core.Tick(f.now)
	request := &session.AdoptRequest{Owner: testEntry, Boot: testBoot, Jobs: []work.JobID{"j"}}
	reply := f.core.Adopt(f.now, request)
	must.True(t, reply.Busy)
	must.Eq(t, []session.TaskCheckpoint{{Task: task, Checkpoint: "c-1"}}, reply.Checkpoints)
	f.list(nil, []FinishedRun{{Sequence: 1, Task: task, Number: start.Number, End: work.EndStopped, Checkpoint: "c-2"}})
	reply = f.core.Adopt(f.now, request)
	must.False(t, reply.Busy)
	must.Len(t, 0, reply.Ends)
	must.Eq(t, []session.TaskCheckpoint{{Task: task, Checkpoint: "c-2"}}, reply.Checkpoints)
}

// TestClaimOfARunAtWorkIsNotAnsweredWithASavedCheckpoint guards against two runs of a task at the
// same time: an earlier run was stopped and has left a checkpoint, the task runs here again, and
// its entry loses the session for a moment and claims it. Told that the run was stopped, it would
// start the task elsewhere. The same holds for a run that a restarted sidecar has found.
func TestClaimOfARunAtWorkIsNotAnsweredWithASavedCheckpoint(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		f := newFixture(t)
		task := key("j", 0)
		f.startFrom(task, "")
		f.list([]RunningRun{{Task: task, Number: 1, Checkpoint: "c-1"}}, nil)
		f.silenceEntry()
		stopped := FinishedRun{Sequence: 1, Task: task, Number: 1, End: work.EndStopped, Checkpoint: "c-1"}
		f.list(nil, []FinishedRun{stopped})
		f.hello(0)
		start := f.startFrom(task, "c-1")
		if restarted {
			f.restart()
		}
		f.list([]RunningRun{{Task: task, Number: start.Number}}, []FinishedRun{stopped})
		claim := claimOf(task)
		claim.Stored, claim.Attempt, claim.Epoch = true, 1, session.FirstEpoch
		f.hello(0, claim)
		must.Len(t, 0, f.core.EventsFor(testEntry))
		must.Eq(t, []session.Refusal{session.RefusedOtherEntry}, f.order(task))
	}
}
