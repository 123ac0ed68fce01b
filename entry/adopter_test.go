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

// TestAbsentNotStarted checks when a missing record proves that a task was not
// started. The times are relative to the earliest possible time of the claim.
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
		{"running since before the claim", wire.SidecarRow{}, reply(-time.Second, -time.Second, false), true},
		{"started at the earliest time of the claim", wire.SidecarRow{}, reply(0, 0, false), true},
		{"restarted after the claim", wire.SidecarRow{}, reply(time.Second, time.Second, false), false},
		{"restarted after the claim, reports no dropped records", wire.SidecarRow{}, reply(time.Second, -time.Second, false), false},
		{"started before the claim by its clock, records dropped since", wire.SidecarRow{}, reply(-time.Second, time.Second, false), false},
		{"first incarnation, started after the claim", wire.SidecarRow{}, reply(time.Second, time.Second, true), true},
		{"first incarnation, records dropped since", wire.SidecarRow{}, reply(time.Second, 2*time.Second, true), false},
		{"first incarnation, started before the claim, records dropped since", wire.SidecarRow{}, reply(-time.Hour, time.Second, true), false},
		{"no answer", wire.SidecarRow{}, nil, false},
		{"left before the claim", wire.SidecarRow{Left: true, LeftAt: at(-time.Second).UnixMilli()}, nil, true},
		{"left after the claim", wire.SidecarRow{Left: true, LeftAt: at(time.Second).UnixMilli()}, nil, false},
		{"left at an unknown time", wire.SidecarRow{Left: true}, nil, false},
		{"no answer, and only its predecessor left", wire.SidecarRow{LeftAt: at(-time.Second).UnixMilli()}, nil, false},
		{"left before the claim and started again since", wire.SidecarRow{Left: true, LeftAt: at(-time.Second).UnixMilli()}, reply(time.Second, time.Second, false), false},
	}
	good := reply(-time.Hour, -time.Hour, false)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.EqOp(t, c.want, summarize(key, []sidecarRow{{SidecarRow: c.row}}, []*wire.LookupReply{c.reply}).AbsentNotStarted)
			rows := []sidecarRow{{}, {SidecarRow: c.row}, {}}
			replies := []*wire.LookupReply{good, c.reply, good}
			must.EqOp(t, c.want, summarize(key, rows, replies).AbsentNotStarted, must.Sprint("among others"))
		})
	}
}

// TestAbsentNotStartedRequiresAllSidecars checks a sidecar that did not answer
// beside one that left before the claim. The former prevents the proof in either
// order of the rows.
func TestAbsentNotStartedRequiresAllSidecars(t *testing.T) {
	key := model.NewJobKey(testCaller)
	left := sidecarRow{SidecarRow: wire.SidecarRow{Left: true, LeftAt: key.Created().Add(-model.KeySkew).Add(-time.Second).UnixMilli()}}
	silent := sidecarRow{SidecarRow: wire.SidecarRow{}}
	none := []*wire.LookupReply{nil, nil}
	must.True(t, summarize(key, []sidecarRow{left, left}, none).AbsentNotStarted)
	must.False(t, summarize(key, []sidecarRow{silent, left}, none).AbsentNotStarted)
	must.False(t, summarize(key, []sidecarRow{left, silent}, none).AbsentNotStarted)
}

// TestRecordsOfOtherJobsAreIgnored checks that records of another job are left out.
func TestRecordsOfOtherJobsAreIgnored(t *testing.T) {
	key, other := model.NewJobKey(testCaller), model.NewJobKey(testCaller)
	reply := &wire.LookupReply{Sidecar: "s1.a", Records: []wire.TaskRecord{
		{Ref: model.TaskRef{Key: other, Index: 1}}, {Ref: model.TaskRef{Key: key, Index: 2}},
	}}
	tasks := summarize(key, []sidecarRow{{}}, []*wire.LookupReply{reply}).Tasks
	must.Len(t, 1, tasks)
	must.EqOp(t, 2, tasks[0].Record.Ref.Index)
	must.EqOp(t, "s1.a", tasks[0].Sidecar)
}

// writeSidecarRow writes a sidecar's row into the table.
func (w *ownerHarness) writeSidecarRow(row wire.SidecarRow) {
	value, err := json.Marshal(row)
	must.NoError(w.t, err)
	w.writeRow(wire.SidecarRowPrefix+row.Target.Sidecar, string(value))
}

func (w *ownerHarness) writeRow(key, value string) {
	_, err := w.table.Table.Commit(w.ctx, store.Txn{Writes: []store.Write{{Key: key, Value: []byte(value)}}})
	must.NoError(w.t, err)
}

// answerLookups makes every sidecar answer lookups with these records and report
// that it has been running for an hour.
func (w *ownerHarness) answerLookups(records ...wire.TaskRecord) {
	w.pool.setHandler(wire.MethodLookup, func(string, any) (any, error) {
		long := time.Now().Add(-time.Hour)
		return wire.LookupReply{Sidecar: target(1).Incarnation, Started: long, RecordsSince: long, Records: records}, nil
	})
}

// orphanedJob prepares two sidecars and a job of two tasks claimed by an entry that
// is gone.
func (w *ownerHarness) orphanedJob() model.JobSpec {
	w.report(target(1), target(2))
	w.writeSidecarRow(wire.SidecarRow{Target: target(1)})
	spec := w.job(2)
	w.acquireWithClaim(spec)
	return spec
}

// waitForLookups waits until the lookups of adopted jobs are batched and answered.
func (w *ownerHarness) waitForLookups() {
	time.Sleep(2 * adoptionBatchDelay)
	synctest.Wait()
}

// TestAdoptUnstartedJob resubmits a job whose tasks are all proved not started. The
// new owner dispatches them.
func TestAdoptUnstartedJob(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		spec := w.orphanedJob()
		w.answerLookups()
		answer, second := w.submit(spec), w.submit(spec)
		w.waitForLookups()
		for _, run := range w.runs(2) {
			run.reply(doneReply(run, 200))
		}
		must.Eq(t, answer.complete(), second.complete())
	})
}

// TestAdoptPartlyStartedJob resubmits a job with one started task. The new owner
// waits for that task and dispatches the other one.
func TestAdoptPartlyStartedJob(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		spec := w.orphanedJob()
		started := model.TaskRef{Key: spec.Key, Index: 1}
		w.answerLookups(wire.TaskRecord{Ref: started, Phase: wire.PhaseStarted})
		w.pool.setHandler(wire.MethodAttach, func(address string, args any) (any, error) {
			must.Eq(t, started, args.(*wire.AttachRequest).Ref)
			return doneReply(&openRun{address: address, request: wire.RunRequest{Ref: started}}, 200), nil
		})
		answer := w.submit(spec)
		w.waitForLookups()
		run := w.run()
		must.EqOp(t, 0, run.request.Ref.Index)
		run.reply(doneReply(run, 200))
		must.Len(t, 2, answer.complete().Results)
	})
}

// TestAdoptWithUnansweredLookup resubmits a job while a sidecar does not answer.
// The job fails and no task is dispatched.
func TestAdoptWithUnansweredLookup(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		spec := w.orphanedJob()
		answer := w.submit(spec)
		w.waitForLookups()
		answer.failed(model.CodeTaskUnknown, model.Unknown)
		w.runs(0)
		w.submit(spec).failed(model.CodeTaskUnknown, model.Unknown)
	})
}

// TestAdoptStoredAnswer checks that a resubmission gets the answer that the former
// owner stored, without any lookup at the sidecars.
func TestAdoptStoredAnswer(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		spec := w.orphanedJob()
		w.storeAnswer(&model.Answer{Key: spec.Key, State: model.Complete, Outcome: model.Run, Results: []model.TaskResult{{Index: 0}, {Index: 1}}})
		answer := w.submit(spec)
		w.waitForLookups()
		must.Len(t, 2, answer.complete().Results)
		must.SliceEmpty(t, w.pool.callArgs(wire.MethodLookup))
		w.runs(0)
	})
}

// storeAnswer stores an answer as the entry testOther would.
func (w *ownerHarness) storeAnswer(answer *model.Answer) {
	keeper := answers.NewWriter(answers.Options{Table: w.table, Objects: w.objects, Self: testOther, OnDropped: func(int) {}})
	keeper.Enqueue(answer)
	ctx, cancel := context.WithCancel(w.ctx)
	cancel()
	keeper.Run(ctx)
}

// TestAdoptWithoutStore resubmits a job while the store can't be read. The outcome
// stays unknown, and the job runs once the store can be read again.
func TestAdoptWithoutStore(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		spec := w.orphanedJob()
		w.answerLookups()
		w.table.setErrors(nil, nil, store.ErrUnavailable)
		answer := w.submit(spec)
		w.waitForLookups()
		answer.refusal(model.CodeStoreUnavailable, model.Unknown)
		w.runs(0)
		w.table.setErrors(nil, nil, nil)
		w.submit(spec)
		w.advance(adoptionRetryDelay)
		w.waitForLookups()
		w.runs(2)
	})
}

// TestAdoptWhileNotAdmitting checks that a job is not looked up while the entry may
// start no tasks.
func TestAdoptWhileNotAdmitting(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		spec := w.orphanedJob()
		w.answerLookups()
		w.setAdmitting(false)
		w.submit(spec).refusal(model.CodeStoreUnavailable, model.Unknown)
		w.waitForLookups()
		must.SliceEmpty(t, w.pool.callArgs(wire.MethodLookup))
	})
}

// TestLiveClaimerIsJoined checks that a job is joined at the entry that claimed it,
// and never adopted, while the session of that entry is alive.
func TestLiveClaimerIsJoined(t *testing.T) {
	cases := []struct {
		name  string
		reply wire.JobReply
		err   error
		check func(p *pendingReply)
	}{
		{"answers", wire.JobReply{Answer: &model.Answer{State: model.Complete}}, nil, func(p *pendingReply) { p.complete() }},
		{"does not know the key", refused(model.NewRefusal(model.CodeNotFound, 0, "")), nil, func(p *pendingReply) { p.refusal(model.CodeOwnerMoved, model.Unknown) }},
		{"can't be reached", wire.JobReply{}, errors.New("lost"), func(p *pendingReply) { p.refusal(model.CodeOwnerMoved, model.Unknown) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withOwner(t, func(w *ownerHarness) {
				spec := w.orphanedJob()
				w.members.set(func(m *fakeMembers) {
					m.live[testOther] = wire.EntryInfo{Incarnation: testOther, Address: "10.0.1.2:1"}
				})
				w.pool.setHandler(wire.MethodJoin, func(string, any) (any, error) { return c.reply, c.err })
				c.check(w.submit(spec))
				w.waitForLookups()
				must.SliceEmpty(t, w.pool.callArgs(wire.MethodLookup))
				w.runs(0)
			})
		})
	}
}

// TestCallsToEndedClaimerAreCancelled checks that a call to a claimer that does not
// answer is cancelled when the claimer's session ends, and that the job can be
// adopted then.
func TestCallsToEndedClaimerAreCancelled(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		spec := w.orphanedJob()
		w.members.set(func(m *fakeMembers) { m.live[testOther] = wire.EntryInfo{Incarnation: testOther} })
		ctx, release := w.owner.sessions.bind(w.ctx, testOther)
		defer release()
		w.members.set(func(m *fakeMembers) { delete(m.live, testOther) })
		time.Sleep(2 * sessionCheckInterval)
		must.ErrorIs(t, ctx.Err(), context.Canceled)
		must.NoError(t, w.ctx.Err())
		w.answerLookups()
		w.submit(spec)
		w.waitForLookups()
		w.runs(2)
	})
}

// TestStoredFailureDeferredWithoutLease adopts a job whose stored answer is a
// failure, after the lease has expired. The failure is reported only once the lease
// is valid again.
func TestStoredFailureDeferredWithoutLease(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		spec := w.orphanedJob()
		w.storeAnswer(&model.Answer{Key: spec.Key, State: model.Failed, Outcome: model.Run, Code: model.CodeTaskFailed})
		w.expireLease()
		answer := w.submit(spec)
		w.waitForLookups()
		answer.refusal(model.CodeTaskFailed, model.Unknown)
		w.renewLease()
		w.advance(time.Second)
		w.submit(spec).failed(model.CodeTaskFailed, model.Run)
	})
}
