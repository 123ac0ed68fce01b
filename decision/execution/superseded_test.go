package execution

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// doneAlone runs a task of a stored job, ordered in the first epoch, to its end. Its entry is
// cut off and doesn't hear of the end; another entry keeps the lease up.
func (f *fixture) doneAlone(task work.TaskKey) {
	f.t.Helper()
	f.core.Hello(f.now, HelloParams{Entry: "edge-2", Boot: "boot", KeepsJobs: true})
	must.EqOp(f.t, session.RefusedNone, f.orderIn(task, 1, session.FirstEpoch))
	f.core.StartAnswered(f.now, f.starts()[0], Started)
	f.list(nil, []FinishedRun{{Sequence: 1, Task: task, Number: 1, End: work.EndDone}})
	f.passAlone(SilenceLimit + time.Millisecond)
}

// passAlone lets time pass in which only the other entry is in contact.
func (f *fixture) passAlone(length time.Duration) {
	f.now = f.now.Add(length)
	f.core.Echo("edge-2", session.StampOf(f.now))
	f.core.Tick(f.now)
}

// orderIn orders a task of a stored job in an epoch and returns the refusal.
func (f *fixture) orderIn(task work.TaskKey, attempt int, epoch session.Epoch) session.Refusal {
	f.request++
	return f.core.Order(f.now, testEntry, &session.StartRequest{Echo: session.StampOf(f.now), Number: f.request, Tasks: []session.StartTask{{
		Task: task, Attempt: attempt, Epoch: epoch, Need: work.Resources{MilliCPU: 4000}, Estimate: 100 * time.Millisecond,
		MaxWait: time.Second, ExpectedWait: time.Second, Stored: true,
	}}})[0]
}

// TestEndOfEarlierEpochIsNotThatOfALaterOrder guards against a start after an end that is
// noted: an entry that was cut off has the task run elsewhere, where it fails, and orders it
// again at the sidecar that holds the end of its first run. Whether the order or a claim of it
// reaches the sidecar, the minion forgets the end only after a lapse, and the task runs again.
func TestEndOfEarlierEpochIsNotThatOfALaterOrder(t *testing.T) {
	for _, tc := range []struct {
		name  string
		epoch session.Epoch
		age   time.Duration
		// told is whether the end is that of the order.
		told bool
	}{
		{"later epoch, old end", session.FirstEpoch + 1, 2 * safeReleaseAge, false},
		{"later epoch, young end", session.FirstEpoch + 1, 0, false},
		{"same epoch, old end", session.FirstEpoch, 2 * safeReleaseAge, true},
		{"entry of an earlier build, old end", session.UnknownEpoch, 2 * safeReleaseAge, false},
		{"entry of an earlier build, young end", session.UnknownEpoch, 0, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			task := key("a", 0)
			f.doneAlone(task)
			f.passAlone(tc.age)
			f.hello(0)
			refusal := f.orderIn(task, 2, tc.epoch)
			must.EqOp(t, 0, f.core.AckedUpTo())
			if tc.told {
				must.EqOp(t, session.RefusedNone, refusal)
				must.EqOp(t, work.EndDone, f.core.EventsFor(testEntry)[0].End)
				return
			}
			must.EqOp(t, session.RefusedNoMinion, refusal)
			must.Len(t, 0, f.core.EventsFor(testEntry))
			f.expectVoidedBeforeRelease()
			must.EqOp(t, session.RefusedNone, f.orderIn(task, 2, tc.epoch))
			must.Len(t, 1, f.starts())
		})
	}
}

// TestClaimOfALaterEpochIsNotAnsweredWithAnEarlierEnd is the same for a claim of an order that
// was lost with its session.
func TestClaimOfALaterEpochIsNotAnsweredWithAnEarlierEnd(t *testing.T) {
	for _, tc := range []struct {
		epoch session.Epoch
		want  work.End
	}{{session.FirstEpoch, work.EndDone}, {session.FirstEpoch + 1, work.EndGone}, {session.UnknownEpoch, work.EndDone}} {
		f := newFixture(t)
		task := key("a", 0)
		f.doneAlone(task)
		f.passAlone(2 * safeReleaseAge)
		claim := claimOf(task)
		claim.Stored, claim.Attempt, claim.Epoch = true, 1, tc.epoch
		f.hello(0, claim)
		must.EqOp(t, tc.want, f.core.EventsFor(testEntry)[0].End)
		must.EqOp(t, 0, f.core.AckedUpTo())
		if tc.want == work.EndGone {
			f.expectVoidedBeforeRelease()
		}
	}
}

// TestEndFoundAtRestartIsNotThatOfALaterEpoch guards against the same where the sidecar was
// restarted in between and knows neither the age nor the epoch of the end. It is told where no
// run of the job was ever given up.
func TestEndFoundAtRestartIsNotThatOfALaterEpoch(t *testing.T) {
	for _, epoch := range []session.Epoch{session.FirstEpoch, session.FirstEpoch + 1} {
		f := newFixture(t)
		f.restart()
		f.list(nil, []FinishedRun{{Sequence: 1, Task: key("a", 0), Number: 1, End: work.EndDone}})
		claim := claimOf(key("a", 0))
		claim.Stored, claim.Attempt, claim.Epoch = true, 1, epoch
		f.hello(0, claim)
		must.EqOp(t, 0, f.core.AckedUpTo())
		if epoch == session.FirstEpoch {
			must.EqOp(t, work.EndDone, f.core.EventsFor(testEntry)[0].End)
			continue
		}
		must.EqOp(t, work.EndGone, f.core.EventsFor(testEntry)[0].End)
		f.expectVoidedBeforeRelease()
	}
}

// TestConfirmedEndIsReleasedWithoutALapse guards against a needless lapse of the lease, which
// ends all runs of the minion: the end is old, but no run of its job was given up since.
func TestConfirmedEndIsReleasedWithoutALapse(t *testing.T) {
	f := newFixture(t)
	task := key("a", 0)
	f.doneAlone(task)
	f.passAlone(2 * safeReleaseAge)
	request := &session.AdoptRequest{ConfirmedEnds: f.core.OrphansToQuery(f.now)}
	must.Len(t, 1, request.ConfirmedEnds)
	request.SetReleased(request.ConfirmedEnds, nil)
	f.core.Adopt(f.now, request)
	must.EqOp(t, 1, f.core.AckedUpTo())
	must.True(t, f.core.MayRenew(f.now))
}

// TestSupersededEndIsVoided guards against an end that is let go of, at any age, though its
// task was started again; and against the end of another run that goes with it.
func TestSupersededEndIsVoided(t *testing.T) {
	for _, age := range []time.Duration{orphanQueryDelay, 2 * safeReleaseAge} {
		f := newFixture(t)
		f.doneAlone(key("a", 0))
		f.passAlone(age)
		request := &session.AdoptRequest{SupersededEnds: f.core.OrphansToQuery(f.now)}
		must.Len(t, 1, request.SupersededEnds)
		other := *request
		other.SupersededEnds = []session.TaskEnd{request.SupersededEnds[0]}
		other.SupersededEnds[0].Epoch = session.FirstEpoch + 1
		f.core.Adopt(f.now, &other)
		must.True(t, f.core.MayRenew(f.now))
		f.core.Adopt(f.now, request)
		must.EqOp(t, 0, f.core.AckedUpTo())
		f.expectVoidedBeforeRelease()
	}
}
