package entry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// malformedReplies lists ways in which the reply of a sidecar can fail to match
// the Run call that it answers.
var malformedReplies = []struct {
	name    string
	corrupt func(reply *wire.RunReply)
}{
	{"another task's index", func(reply *wire.RunReply) { reply.Result.Index++ }},
	{"negative index", func(reply *wire.RunReply) { reply.Result.Index = -1 }},
	{"truncated body", func(reply *wire.RunReply) { reply.Result.Body = reply.Result.Body[:1] }},
	{"no body", func(reply *wire.RunReply) { reply.Result.Body = nil }},
	{"another body", func(reply *wire.RunReply) { reply.Result.Body = []byte("other") }},
	{"no digest", func(reply *wire.RunReply) { reply.Result.Digest = 0 }},
	{"no result", func(reply *wire.RunReply) { reply.Result = model.TaskResult{} }},
	{"no status", func(reply *wire.RunReply) { reply.Status = "" }},
	{"status of a newer version", func(reply *wire.RunReply) { reply.Status = "paused" }},
}

// TestMalformedReplyToJob answers a task of a job with a malformed reply. The job
// fails with CodeTaskUnknown and without results, and no task is started again.
func TestMalformedReplyToJob(t *testing.T) {
	for _, c := range malformedReplies {
		t.Run(c.name, func(t *testing.T) {
			withOwner(t, func(w *ownerHarness) {
				w.report(target(1), target(2))
				answer := w.submit(w.job(2))
				runs := w.runs(2)
				reply := doneReply(runs[0], 200)
				c.corrupt(&reply)
				runs[1].reply(doneReply(runs[1], 200))
				answer.mustBePending()
				runs[0].reply(reply)
				answer.failed(model.CodeTaskUnknown, model.Run)
				w.advance(time.Second, target(1), target(2))
				w.runs(0)
			})
		})
	}
}

// TestMalformedReplyToRequest answers an idempotent request with a malformed reply:
// the request is run again at another worker, whose result is the answer.
func TestMalformedReplyToRequest(t *testing.T) {
	for _, c := range malformedReplies {
		t.Run(c.name, func(t *testing.T) {
			withOwner(t, func(w *ownerHarness) {
				w.report(target(1), target(2))
				answer := w.request(w.singleTaskJob(true))
				first := w.run()
				reply := doneReply(first, 200)
				c.corrupt(&reply)
				first.reply(reply)
				second := w.run()
				must.NotEq(t, first.address, second.address)
				second.reply(doneReply(second, 200))
				must.Eq(t, doneReply(second, 200).Result.Body, answer.complete().Results[0].Body)
			})
		})
	}
}

// TestSwappedTaskIndexes swaps the replies to the two tasks of a job. Both are well
// formed, but neither may be delivered as the result of the other task.
func TestSwappedTaskIndexes(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		w.report(target(1), target(2))
		answer := w.submit(w.job(2))
		runs := w.runs(2)
		runs[0].reply(doneReply(runs[1], 200))
		answer.failed(model.CodeTaskUnknown, model.Unknown)
		runs[1].reply(doneReply(runs[0], 200))
		w.runs(0)
	})
}

// TestDuplicateTaskEnd posts the end of a dispatch twice: the second event changes
// neither that task nor the other task of the job.
func TestDuplicateTaskEnd(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		w.report(target(1))
		answer := w.submit(w.job(2))
		runs := w.runs(2)
		order := taskDispatch{target: target(1), ref: runs[0].request.Ref, attempt: 1}
		runs[0].reply(doneReply(runs[0], 200))
		answer.mustBePending()
		w.owner.post(dispatchResultEvent{dispatchResult{dispatch: order, reply: doneReply(runs[0], 200)}})
		answer.mustBePending()
		runs[1].reply(doneReply(runs[1], 200))
		must.Len(t, 2, answer.complete().Results)
	})
}

// TestDuplicateRunIsAttached answers a dispatch with RunDuplicate: the entry waits
// for the task that already runs at the sidecar, and starts none elsewhere.
func TestDuplicateRunIsAttached(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		w.report(target(1), target(2))
		answer := w.submit(w.job(1))
		run := w.run()
		w.pool.setHandler(wire.MethodAttach, func(string, any) (any, error) { return doneReply(run, 200), nil })
		run.reply(wire.RunReply{Status: wire.RunDuplicate, MessageNumber: 1})
		answer.complete()
		w.runs(0)
	})
}

// TestLostConnection loses the connection of a dispatch, so that the entry looks
// the task up at the sidecar. It waits for the task only when the same incarnation
// has a record of it; a missing record does not prove that the task was not run.
func TestLostConnection(t *testing.T) {
	cases := []struct {
		name    string
		sidecar model.Incarnation
		record  bool
		answers bool
	}{
		{"record at the same incarnation", target(1).Incarnation, true, true},
		{"no record", target(1).Incarnation, false, false},
		{"another incarnation", "s1.b", true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withOwner(t, func(w *ownerHarness) {
				w.report(target(1))
				answer := w.submit(w.job(1))
				run := w.run()
				w.pool.setHandler(wire.MethodLookup, func(string, any) (any, error) {
					reply := wire.LookupReply{Sidecar: c.sidecar}
					if c.record {
						reply.Records = []wire.TaskRecord{{Ref: run.request.Ref, Phase: wire.PhaseStarted}}
					}
					return reply, nil
				})
				w.pool.setHandler(wire.MethodAttach, func(string, any) (any, error) { return doneReply(run, 200), nil })
				run.fail(wire.ErrOutcomeUnknown)
				if c.answers {
					answer.complete()
				} else {
					answer.failed(model.CodeTaskUnknown, model.Unknown)
				}
				w.runs(0)
			})
		})
	}
}
