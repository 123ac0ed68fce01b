package dispatcher

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/decision/heldjob"
	"github.com/figring/figring/decision/joblease"
	"github.com/figring/figring/decision/keptend"
	"github.com/figring/figring/jobstore"
	"github.com/figring/figring/session"
	"github.com/figring/figring/session/link"
	"github.com/figring/figring/work"
)

// toldOwner is an entry that is told of the ends of its jobs.
type toldOwner struct{ jobs []work.JobID }

// Closed implements link.Receiver.
func (*toldOwner) Closed() {}

// Ended is called by net/rpc.
func (o *toldOwner) Ended(request *session.EndedRequest, _ *session.EndedReply) error {
	o.jobs = append(o.jobs, request.Job)
	return nil
}

// storeEnd stores a job of the owner that this entry has ended.
func (f *takeoverFixture) storeEnd(id work.JobID, owner jobstore.Owner) {
	f.t.Helper()
	written := make(chan jobstore.WriteResult, 2)
	done := func(result jobstore.WriteResult) { written <- result }
	go f.takeover.writer.Run(f.t.Context())
	job := jobstore.AcceptedJob{Job: work.Job{ID: id, Steps: []work.Step{{Count: 1}}}}
	create, err := jobstore.Create(job, jobstore.Progress{Owner: owner, Epoch: session.FirstEpoch}, jobstore.Limits{RowBytes: 1 << 16}, done)
	must.NoError(f.t, err)
	must.True(f.t, f.takeover.writer.Enqueue(create))
	created := <-written
	must.True(f.t, created.Written)
	ending := jobstore.JobEnd{Outcome: jobstore.Cancelled, At: time.Now(), Epoch: session.FirstEpoch, Owner: &owner}
	must.True(f.t, f.takeover.writer.Enqueue(jobstore.End(id, created.Version, 0, ending, done)))
	must.True(f.t, (<-written).Written)
}

// ask returns what this entry answers to a sidecar about a done task of the job.
func (f *takeoverFixture) ask(id work.JobID) keptend.State {
	query := endQuery{dispatcher: f.takeover.dispatcher, unaware: make(map[jobstore.Owner]bool)}
	return query.find(f.t.Context(), session.TaskEnd{Task: work.TaskKey{Job: id}, End: work.EndDone, Attempt: 1, Epoch: session.FirstEpoch})
}

// TestEndOfACancelledJobIsKeptUntilItsOwnerKnows guards against a task that runs again after its
// end was noted: another entry has cancelled the job, whose owner can't be reached, owns it
// still, and starts the task again when its sidecar has let go of the end.
func TestEndOfACancelledJobIsKeptUntilItsOwnerKnows(t *testing.T) {
	f := newTakeoverFixture(t)
	owner := jobstore.Owner{Name: "owner", Boot: "1.0"}
	row := joblease.OwnerRow{Name: owner.Name, Boot: owner.Boot}
	version, err := f.takeover.owners.Put(t.Context(), row)
	must.NoError(t, err)
	f.storeEnd("j", owner)
	must.EqOp(t, keptend.Needed, f.ask("j"))

	row.Version, row.Released = version, true
	_, err = f.takeover.owners.Put(t.Context(), row)
	must.NoError(t, err)
	must.EqOp(t, keptend.Confirmed, f.ask("j"), must.Sprint("the owner owns nothing any more"))
}

// TestOwnerIsToldWhenAnEndOfItsCancelledJobIsAskedFor guards against an end that is kept, until
// a lapse of the lease, though the owner of its job can be told.
func TestOwnerIsToldWhenAnEndOfItsCancelledJobIsAskedFor(t *testing.T) {
	f := newTakeoverFixture(t)
	open, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	told := &toldOwner{}
	listener := link.New(open, "", session.EntryService, func(net.Conn) link.Receiver { return told }, func(error) {})
	go func() { _ = listener.Serve() }()
	t.Cleanup(listener.Close)
	f.takeover.dispatcher.deps.Directory.Merge(session.Peer{Name: "owner", Role: session.RoleEntry, Address: listener.Address(), Boot: "1"})
	f.storeEnd("j", jobstore.Owner{Name: "owner", Boot: "1.0"})
	must.EqOp(t, keptend.Confirmed, f.ask("j"))
	must.Eq(t, []work.JobID{"j"}, told.jobs)
}

// TestJobEndedByAnotherOwnerIsOnlyDisowned guards against a completed job that is shown as
// cancelled, and against ends that are noted though their tasks were started again: another
// entry has taken the job over and ended it while this one was cut off.
func TestJobEndedByAnotherOwnerIsOnlyDisowned(t *testing.T) {
	for _, tc := range []struct {
		owner     jobstore.Owner
		cancelled bool
	}{{jobstore.Owner{Name: "e", Boot: "1.0"}, true}, {jobstore.Owner{Name: "e", Boot: "2.0"}, false}, {jobstore.Owner{Name: "f", Boot: "1.0"}, false}} {
		f := newTakeoverFixture(t)
		f.storeEnd("j", tc.owner)
		f.addOwnJob("j")
		f.takeover.ownCheck.request()
		f.takeover.runRound(t.Context())
		must.EqOp(t, 0, f.ownJobCount())
		f.takeover.dispatcher.loop.Do(func(now time.Time) {
			answer, _, _, known := f.takeover.dispatcher.core.State(now, "j")
			must.EqOp(t, tc.cancelled, known)
			must.EqOp(t, tc.cancelled, answer.Outcome == heldjob.Cancelled)
		})
	}
}
