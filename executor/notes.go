package executor

import (
	"time"

	"github.com/figring/figring/common/boottime"
	"github.com/figring/figring/common/eventlog"
	"github.com/figring/figring/decision/execution"
	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// logOrder writes what became of an entry's order.
func (e *Executor) logOrder(entry string, request *session.StartRequest, reply *session.StartReply) {
	for i, refusal := range reply.Refusals {
		task := request.Tasks[i].Task
		line := e.parts.Log.Routine(eventlog.KindTaken)
		if refusal != session.RefusedNone {
			e.meters.refusal(refusal)
			line = e.parts.Log.Failure(eventlog.KindOrderRefuse).Str(eventlog.FieldReason, string(refusal))
		}
		line.Str(eventlog.FieldJob, string(task.Job)).Int(eventlog.FieldTask, task.Index).Str(eventlog.FieldPeer, entry).Msg("")
	}
}

// note writes what the core has decided since the last time.
func (e *Executor) note() {
	for _, note := range e.core.LogEvents() {
		e.noteOne(note)
	}
	free, queued := e.core.CPUFreeAndQueued()
	e.meters.free.Update(float64(free))
	e.meters.queued.Update(float64(queued))
	e.meters.sessions.Update(float64(e.sessionCount()))
	e.noteRoom(free, queued)
}

// roomInterval is the time between two lines on the room of the minion.
const roomInterval = time.Second

// noteRoom writes now and then what the room is taken by.
func (e *Executor) noteRoom(free, queued int64) {
	now := time.Now()
	if now.Before(e.nextRoomLine) {
		return
	}
	e.nextRoomLine = now.Add(roomInterval)
	for entry, age := range e.core.EntryContactAges(boottime.Now()) {
		e.meters.entryAge(entry, age)
	}
	phases := e.core.Phases()
	e.parts.Log.Routine(eventlog.KindRoom).Int64(eventlog.FieldFree, free).Int64("queued_millicpu", queued).
		Int("queued", phases.Queued).Int("starting", phases.Starting).Int("unproved", phases.Unconfirmed).
		Int("running", phases.Running).Int("stopping", phases.Stopping).Int("unclaimed", phases.Unclaimed).
		Float64(eventlog.FieldPace, e.core.Pace(boottime.Now())).Msg("")
}

func (e *Executor) noteOne(note execution.LogEvent) {
	switch note.Kind {
	case execution.LogRunEnded:
		e.meters.end(note.End)
		line := e.parts.Log.Routine(eventlog.KindRunEnd)
		if note.End != work.EndDone && note.End != work.EndStopped {
			line = e.parts.Log.Failure(eventlog.KindRunBadEnd)
		}
		line.Str(eventlog.FieldJob, string(note.Task.Job)).Int(eventlog.FieldTask, note.Task.Index).
			Str(eventlog.FieldOutcome, note.End.String()).Dur(eventlog.FieldTook, note.Took).
			Dur(eventlog.FieldEstimate, note.Estimate).Dur(eventlog.FieldWaited, note.Waited).
			Dur(eventlog.FieldAnswered, note.Answered).Msg("")
	case execution.LogEntrySilent:
		e.closeSession(note.Entry)
		e.parts.Log.Failure(eventlog.KindEntryLost).Str(eventlog.FieldPeer, note.Entry).Msg("")
	case execution.LogEndUncertain:
		e.parts.Log.Failure(eventlog.KindDoubtful).Str(eventlog.FieldJob, string(note.Task.Job)).
			Int(eventlog.FieldTask, note.Task.Index).Str(eventlog.FieldOutcome, note.End.String()).Msg("")
	case execution.LogMinionSuspect:
		e.parts.Log.Failure(eventlog.KindSuspect).Msg("")
	case execution.LogMinionTrusted:
		e.parts.Log.Failure(eventlog.KindTrusted).Msg("")
	case execution.LogMinionUnresponsive:
		e.parts.Log.Failure(eventlog.KindLost).Str(eventlog.FieldName, "minion").Msg("")
	}
}
