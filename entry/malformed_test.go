package entry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// malformed lists replies of a sidecar that are not the answer to their call.
var malformed = []struct {
	name  string
	spoil func(reply *wire.RunReply)
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

// TestMalformedAnswerOfAJob gives a job a reply that doesn't fit: it fails with
// an unknown outcome, delivers nothing, and starts nothing again.
func TestMalformedAnswerOfAJob(t *testing.T) {
	for _, c := range malformed {
		t.Run(c.name, func(t *testing.T) {
			withOwner(t, func(w *ownerHarness) {
				w.report(target(1), target(2))
				answer := w.submit(w.job(2))
				runs := w.runs(2)
				reply := doneReply(runs[0], 200)
				c.spoil(&reply)
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

// TestMalformedAnswerOfARequest gives an idempotent request such a reply: the
// answer comes from another worker.
func TestMalformedAnswerOfARequest(t *testing.T) {
	for _, c := range malformed {
		t.Run(c.name, func(t *testing.T) {
			withOwner(t, func(w *ownerHarness) {
				w.report(target(1), target(2))
				answer := w.request(w.singleTaskJob(true))
				first := w.run()
				reply := doneReply(first, 200)
				c.spoil(&reply)
				first.reply(reply)
				second := w.run()
				must.NotEq(t, first.address, second.address)
				second.reply(doneReply(second, 200))
				must.Eq(t, doneReply(second, 200).Result.Body, answer.complete().Results[0].Body)
			})
		})
	}
}

// TestCrossedIndexes swaps the replies of a job's two tasks: both are whole, and
// neither is delivered in the place of the other.
func TestCrossedIndexes(t *testing.T) {
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

// TestDuplicateEnd posts the end of a dispatch twice: the second changes
// nothing, neither of the job nor of the next one.
func TestDuplicateEnd(t *testing.T) {
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

// TestDuplicateIsAttached answers a dispatch as a duplicate: the entry waits
// for the task that runs there, and starts nothing elsewhere.
func TestDuplicateIsAttached(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		w.report(target(1), target(2))
		answer := w.submit(w.job(1))
		run := w.run()
		w.pool.answer(wire.MethodAttach, func(string, any) (any, error) { return doneReply(run, 200), nil })
		run.reply(wire.RunReply{Status: wire.RunDuplicate, Message: 1})
		answer.complete()
		w.runs(0)
	})
}

// TestLostConnection asks the sidecar what became of a task whose connection
// was lost. Only a record at the same incarnation is waited for; the absence of
// one proves nothing.
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
				w.pool.answer(wire.MethodLookup, func(string, any) (any, error) {
					reply := wire.LookupReply{Sidecar: c.sidecar}
					if c.record {
						reply.Records = []wire.TaskRecord{{Ref: run.request.Ref, Phase: wire.PhaseStarted}}
					}
					return reply, nil
				})
				w.pool.answer(wire.MethodAttach, func(string, any) (any, error) { return doneReply(run, 200), nil })
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
