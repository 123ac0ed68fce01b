package entry

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/answers"
	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
	"github.com/figring/figring/wire"
)

// TestAbsentNotStarted checks when the absence of a record proves that a task was
// not started. Times are counted from the earliest time of the claim.
func TestAbsentNotStarted(t *testing.T) {
	key := model.NewJobKey(testCaller)
	floor := key.Created().Add(-model.KeySkew)
	at := func(d time.Duration) time.Time { return floor.Add(d) }
	reply := func(started, since time.Duration, first bool) *wire.LookupReply {
		return &wire.LookupReply{Sidecar: "s1.a", Started: at(started), RecordsSince: at(since), First: first}
	}
	cases := []struct {
		name  string
		row   wire.SidecarRow
		reply *wire.LookupReply
		want  bool
	}{
		{"runs since before the claim", wire.SidecarRow{}, reply(-time.Second, -time.Second, false), true},
		{"started just at the floor", wire.SidecarRow{}, reply(0, 0, false), true},
		{"restarted after the claim", wire.SidecarRow{}, reply(time.Second, time.Second, false), false},
		{"restarted after the claim, says that no record was dropped", wire.SidecarRow{}, reply(time.Second, -time.Second, false), false},
		{"restarted, clock said before, records dropped since", wire.SidecarRow{}, reply(-time.Second, time.Second, false), false},
		{"first incarnation, started after the claim", wire.SidecarRow{}, reply(time.Second, time.Second, true), true},
		{"first incarnation, records dropped since", wire.SidecarRow{}, reply(time.Second, 2*time.Second, true), false},
		{"first incarnation, old, records dropped since", wire.SidecarRow{}, reply(-time.Hour, time.Second, true), false},
		{"no answer", wire.SidecarRow{}, nil, false},
		{"left before the claim", wire.SidecarRow{Left: true, LeftAt: at(-time.Second).UnixMilli()}, nil, true},
		{"left after the claim", wire.SidecarRow{Left: true, LeftAt: at(time.Second).UnixMilli()}, nil, false},
		{"left at an unknown time", wire.SidecarRow{Left: true}, nil, false},
		{"silent, and only its predecessor left", wire.SidecarRow{LeftAt: at(-time.Second).UnixMilli()}, nil, false},
		{"left before the claim and back since", wire.SidecarRow{Left: true, LeftAt: at(-time.Second).UnixMilli()}, reply(time.Second, time.Second, false), false},
	}
	good := reply(-time.Hour, -time.Hour, false)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.EqOp(t, c.want, account(key, []sidecarRow{{SidecarRow: c.row}}, []*wire.LookupReply{c.reply}).AbsentNotStarted)
			rows := []sidecarRow{{}, {SidecarRow: c.row}, {}}
			replies := []*wire.LookupReply{good, c.reply, good}
			must.EqOp(t, c.want, account(key, rows, replies).AbsentNotStarted, must.Sprint("among others"))
		})
	}
}

// TestAbsentNotStartedNeedsAll finds one sidecar silent and another one excused: the
// order of the rows does not matter.
func TestAbsentNotStartedNeedsAll(t *testing.T) {
	key := model.NewJobKey(testCaller)
	left := sidecarRow{SidecarRow: wire.SidecarRow{Left: true, LeftAt: key.Created().Add(-model.KeySkew).Add(-time.Second).UnixMilli()}}
	silent := sidecarRow{SidecarRow: wire.SidecarRow{}}
	none := []*wire.LookupReply{nil, nil}
	must.True(t, account(key, []sidecarRow{left, left}, none).AbsentNotStarted)
	must.False(t, account(key, []sidecarRow{silent, left}, none).AbsentNotStarted)
	must.False(t, account(key, []sidecarRow{left, silent}, none).AbsentNotStarted)
}

// TestRecordsOfOtherJobs keeps records of another job out.
func TestRecordsOfOtherJobs(t *testing.T) {
	key, other := model.NewJobKey(testCaller), model.NewJobKey(testCaller)
	reply := &wire.LookupReply{Sidecar: "s1.a", Records: []wire.TaskRecord{
		{Ref: model.TaskRef{Key: other, Index: 1}}, {Ref: model.TaskRef{Key: key, Index: 2}},
	}}
	tasks := account(key, []sidecarRow{{}}, []*wire.LookupReply{reply}).Tasks
	must.Len(t, 1, tasks)
	must.EqOp(t, 2, tasks[0].Record.Ref.Index)
	must.EqOp(t, "s1.a", tasks[0].Sidecar)
}

// writeSidecarRow writes the row of a sidecar.
func (w *world) writeSidecarRow(row wire.SidecarRow) {
	value, err := json.Marshal(row)
	must.NoError(w.t, err)
	w.writeRow(wire.SidecarRowPrefix+row.Target.Sidecar, string(value))
}

func (w *world) writeRow(key, value string) {
	_, err := w.table.Table.Commit(w.ctx, store.Txn{Writes: []store.Write{{Key: key, Value: []byte(value)}}})
	must.NoError(w.t, err)
}

// answerLookups lets every sidecar answer with these records, and say that it
// runs since long ago.
func (w *world) answerLookups(records ...wire.TaskRecord) {
	w.pool.setHandler(wire.MethodLookup, func(string, any) (any, error) {
		long := time.Now().Add(-time.Hour)
		return wire.LookupReply{Sidecar: target(1).Incarnation, Started: long, RecordsSince: long, Records: records}, nil
	})
}

// adoptable prepares a job of two tasks that an entry claimed which is gone.
func (w *world) adoptable() model.JobSpec {
	w.report(target(1), target(2))
	w.writeSidecarRow(wire.SidecarRow{Target: target(1)})
	spec := w.job(2)
	w.acquire(spec)
	return spec
}

// settle lets the questions about adopted jobs be gathered and answered.
func (w *world) settle() {
	time.Sleep(2 * adoptionGather)
	synctest.Wait()
}

// TestAdoptUnstartedJob resubmits a job whose tasks are all proved unstarted:
// they are dispatched now.
func TestAdoptUnstartedJob(t *testing.T) {
	inWorld(t, func(w *world) {
		spec := w.adoptable()
		w.answerLookups()
		answer, second := w.submit(spec), w.submit(spec)
		w.settle()
		for _, run := range w.runs(2) {
			run.reply(doneReply(run, 200))
		}
		must.Eq(t, answer.complete(), second.complete())
	})
}

// TestAdoptHalfStartedJob waits for the task that runs and starts the other.
func TestAdoptHalfStartedJob(t *testing.T) {
	inWorld(t, func(w *world) {
		spec := w.adoptable()
		started := model.TaskRef{Key: spec.Key, Index: 1}
		w.answerLookups(wire.TaskRecord{Ref: started, Phase: wire.PhaseStarted})
		w.pool.setHandler(wire.MethodAttach, func(address string, args any) (any, error) {
			must.Eq(t, started, args.(*wire.AttachRequest).Ref)
			return doneReply(&openRun{address: address, request: wire.RunRequest{Ref: started}}, 200), nil
		})
		answer := w.submit(spec)
		w.settle()
		run := w.run()
		must.EqOp(t, 0, run.request.Ref.Index)
		run.reply(doneReply(run, 200))
		must.Len(t, 2, answer.complete().Results)
	})
}

// TestAdoptUnprovedJob resubmits a job while a sidecar does not answer: it
// fails and nothing is started.
func TestAdoptUnprovedJob(t *testing.T) {
	inWorld(t, func(w *world) {
		spec := w.adoptable()
		answer := w.submit(spec)
		w.settle()
		answer.failed(model.CodeTaskUnknown, model.Unknown)
		w.runs(0)
		w.submit(spec).failed(model.CodeTaskUnknown, model.Unknown)
	})
}

// TestAdoptStoredAnswer gives the answer that the former owner stored.
func TestAdoptStoredAnswer(t *testing.T) {
	inWorld(t, func(w *world) {
		spec := w.adoptable()
		w.storeAnswer(&model.Answer{Key: spec.Key, State: model.Complete, Outcome: model.Run, Results: []model.TaskResult{{Index: 0}, {Index: 1}}})
		answer := w.submit(spec)
		w.settle()
		must.Len(t, 2, answer.complete().Results)
		must.SliceEmpty(t, w.pool.callArgs(wire.MethodLookup))
		w.runs(0)
	})
}

// storeAnswer stores an answer as testOther would have.
func (w *world) storeAnswer(answer *model.Answer) {
	keeper := answers.NewKeeper(answers.Options{Table: w.table, Objects: w.objects, Self: testOther, Dropped: func(int) {}})
	keeper.Keep(answer)
	ctx, cancel := context.WithCancel(w.ctx)
	cancel()
	keeper.Run(ctx)
}

// TestAdoptWithoutStore can't look into a job: nothing is decided, and a later
// resubmission can.
func TestAdoptWithoutStore(t *testing.T) {
	inWorld(t, func(w *world) {
		spec := w.adoptable()
		w.answerLookups()
		w.table.setErrors(nil, nil, store.ErrUnavailable)
		answer := w.submit(spec)
		w.settle()
		answer.refusal(model.CodeStoreUnavailable, model.Unknown)
		w.runs(0)
		w.table.setErrors(nil, nil, nil)
		w.submit(spec)
		w.pass(adoptionRetry)
		w.settle()
		w.runs(2)
	})
}

// TestAdoptWhileNotAdmitting refuses to look into a job while nothing could be
// started.
func TestAdoptWhileNotAdmitting(t *testing.T) {
	inWorld(t, func(w *world) {
		spec := w.adoptable()
		w.answerLookups()
		w.admit(false)
		w.submit(spec).refusal(model.CodeStoreUnavailable, model.Unknown)
		w.settle()
		must.SliceEmpty(t, w.pool.callArgs(wire.MethodLookup))
	})
}

// TestLiveClaimerIsJoined asks the entry that claimed a job while its session
// lives, and never adopts the job.
func TestLiveClaimerIsJoined(t *testing.T) {
	cases := []struct {
		name  string
		reply wire.JobReply
		err   error
		check func(p *pending)
	}{
		{"answers", wire.JobReply{Answer: &model.Answer{State: model.Complete}}, nil, func(p *pending) { p.complete() }},
		{"does not know the key", refused(model.NewRefusal(model.CodeNotFound, 0, "")), nil, func(p *pending) { p.refusal(model.CodeOwnerMoved, model.Unknown) }},
		{"can't be reached", wire.JobReply{}, errors.New("lost"), func(p *pending) { p.refusal(model.CodeOwnerMoved, model.Unknown) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inWorld(t, func(w *world) {
				spec := w.adoptable()
				w.members.set(func(m *fakeMembers) {
					m.live[testOther] = wire.EntryInfo{Incarnation: testOther, Address: "10.0.1.2:1"}
				})
				w.pool.setHandler(wire.MethodJoin, func(string, any) (any, error) { return c.reply, c.err })
				c.check(w.submit(spec))
				w.settle()
				must.SliceEmpty(t, w.pool.callArgs(wire.MethodLookup))
				w.runs(0)
			})
		})
	}
}

// TestFrozenClaimerIsGivenUp leaves the question at a claimer open until its
// session is gone.
func TestFrozenClaimerIsGivenUp(t *testing.T) {
	inWorld(t, func(w *world) {
		spec := w.adoptable()
		w.members.set(func(m *fakeMembers) { m.live[testOther] = wire.EntryInfo{Incarnation: testOther} })
		ctx, release := w.owner.watch.bind(w.ctx, testOther)
		defer release()
		w.members.set(func(m *fakeMembers) { delete(m.live, testOther) })
		time.Sleep(2 * ownerWatchInterval)
		must.ErrorIs(t, ctx.Err(), context.Canceled)
		must.NoError(t, w.ctx.Err())
		w.answerLookups()
		w.submit(spec)
		w.settle()
		w.runs(2)
	})
}

// TestStoredFailureNeedsTheLease adopts a job whose stored answer is a failure
// while the lease is over: the failure is told only once the lease is back.
func TestStoredFailureNeedsTheLease(t *testing.T) {
	inWorld(t, func(w *world) {
		spec := w.adoptable()
		w.storeAnswer(&model.Answer{Key: spec.Key, State: model.Failed, Outcome: model.Run, Code: model.CodeTaskFailed})
		w.lapse()
		answer := w.submit(spec)
		w.settle()
		answer.refusal(model.CodeTaskFailed, model.Unknown)
		w.renewLease()
		w.pass(time.Second)
		w.submit(spec).failed(model.CodeTaskFailed, model.Run)
	})
}
