package schedules

import (
	"slices"

	"pgregory.net/rapid"

	"github.com/figring/figring/decision/jobstate"
	"github.com/figring/figring/decision/startgate"
	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// dispatch sends the queued tasks to randomly drawn sidecars.
func (e *entry) dispatch() {
	if e.fenced || !e.admitting() {
		return
	}
	targets := slices.DeleteFunc(slices.Clone(e.targets), func(at *sidecar) bool {
		return !e.view.Bundle.ZoneOpen(at.zone) || !e.view.Bundle.TargetOpen(at.name)
	})
	if len(targets) == 0 {
		return
	}
	for _, one := range slices.Clone(e.jobs) {
		ready := one.ready
		one.ready = nil
		for _, index := range ready {
			e.send(one, index, rapid.SampledFrom(targets).Draw(e.w.t, "target"))
		}
	}
}

// send dispatches one task to a sidecar. The permit is computed last, so that it
// counts from the time of sending.
func (e *entry) send(one *job, index int, at *sidecar) {
	attempt, allowed := one.state.Attempt(index)
	if !allowed {
		return
	}
	ref := model.TaskRef{Key: one.key, Index: index}
	e.apply(one, jobstate.Dispatched{Index: index, Attempt: attempt, Sidecar: at.self})
	granted := e.permit(at)
	end := once(func(reply wire.RunReply) { e.taskEnded(ref, attempt, at, reply) })
	if granted.TTL <= 0 {
		e.w.post(message{to: e, what: "no permit", act: func() {
			end(wire.RunReply{Status: wire.RunNotStarted, Reason: wire.ReasonNoPermit})
		}})
		return
	}
	lost := func() { e.recover(ref, at, end) }
	meant := at.self
	call := func(at *sidecar) {
		id := at.open(e.self, e.replyTo(at, lost, func(reply wire.RunReply) {
			if reply.Status == wire.RunDuplicate {
				e.attach(ref, at, end)
				return
			}
			end(reply)
		}))
		at.apply(startgate.Dispatch{ID: id, Entry: e.self, Sidecar: meant, Permit: granted, Ref: ref, Deadline: at.now().Add(jobTimeout)})
	}
	there := &address{w: e.w, name: at.name}
	e.w.post(message{to: there, what: "run", lost: lost, act: func() { call(there.sidecar()) }})
}

// replyTo returns a function that sends a sidecar's reply to this entry.
func (e *entry) replyTo(at *sidecar, lost func(), take func(wire.RunReply)) func(wire.RunReply) {
	return func(reply wire.RunReply) {
		e.w.post(message{to: e, what: "run reply " + string(reply.Status), lost: lost, act: func() {
			e.heard(at, reply.MessageNumber)
			take(reply)
		}})
	}
}

// recover looks up a task whose connection was lost. If the sidecar has a record
// of the task, the entry attaches to it; a missing record proves nothing, so the
// outcome is unknown.
func (e *entry) recover(ref model.TaskRef, at *sidecar, end func(wire.RunReply)) {
	e.lookup(ref.Key, at.self, func(reply *wire.LookupReply) {
		known := reply != nil && slices.ContainsFunc(reply.Records, func(record wire.TaskRecord) bool { return record.Ref == ref })
		if !known {
			end(wire.RunReply{Status: wire.RunUnknown})
			return
		}
		e.attach(ref, at, end)
	})
}

func (e *entry) attach(ref model.TaskRef, at *sidecar, end func(wire.RunReply)) {
	lost := func() { end(wire.RunReply{Status: wire.RunUnknown}) }
	e.w.post(message{to: at, what: "attach", lost: lost, act: func() {
		id := at.open(e.self, e.replyTo(at, lost, end))
		at.apply(startgate.Attach{ID: id, Entry: e.self, Ref: ref})
	}})
}

func (e *entry) attachAll(one *job, tasks []jobstate.Placement) {
	for _, task := range tasks {
		ref := model.TaskRef{Key: one.key, Index: task.Index}
		at := e.w.sidecarOf(task.Sidecar)
		if at == nil {
			e.apply(one, jobstate.Unknown{Ref: ref, Attempt: task.Attempt})
			continue
		}
		e.attach(ref, at, once(func(reply wire.RunReply) { e.taskEnded(ref, task.Attempt, at, reply) }))
	}
}

func (e *entry) withdraw(one *job, tasks []jobstate.Placement) {
	one.ready = nil
	for _, task := range tasks {
		if at := e.w.sidecarOf(task.Sidecar); at != nil {
			e.w.post(message{to: at, what: "withdraw", act: func() {
				at.apply(startgate.Withdraw{Key: one.key, Indexes: []int{task.Index}})
			}})
		}
	}
}

func (e *entry) taskEnded(ref model.TaskRef, attempt int, at *sidecar, reply wire.RunReply) {
	one := e.jobOf(ref.Key)
	if one == nil {
		return
	}
	switch reply.Status {
	case wire.RunDone:
		e.apply(one, jobstate.Done{Ref: ref, Attempt: attempt, Result: reply.Result})
	case wire.RunNotStarted:
		e.apply(one, jobstate.HandedBack{Ref: ref, Attempt: attempt, Reason: reply.Reason})
	default:
		e.apply(one, jobstate.Unknown{Ref: ref, Attempt: attempt})
	}
}
