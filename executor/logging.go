package executor

import (
	"time"

	"github.com/figring/figring/common/boottime"
	"github.com/figring/figring/common/eventlog"
	"github.com/figring/figring/decision/execution"
	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// logOrder logs for each task of an entry's request whether it was accepted.
func (e *Executor) logOrder(entry string, request *session.StartRequest, reply *session.StartReply) {
	for i, refusal := range reply.Refusals {
		task := request.Tasks[i].Task
		line := e.deps.Log.Routine(eventlog.KindOrderAccepted)
		if refusal != session.RefusedNone {
			e.meters.refusal(refusal)
			line = e.deps.Log.Failure(eventlog.KindOrderRefused).Str(eventlog.FieldReason, string(refusal))
		}
		line.Str(eventlog.FieldJob, string(task.Job)).Int(eventlog.FieldTask, task.Index).Str(eventlog.FieldPeer, entry).Msg("")
	}
}

// logDecisions logs the core's decisions since the last call and updates the
// metrics of its state.
func (e *Executor) logDecisions() {
	for _, note := range e.core.LogEvents() {
		e.logDecision(note)
	}
	free, queued := e.core.CPUFreeAndQueued()
	e.meters.free.Update(float64(free))
	e.meters.queued.Update(float64(queued))
	e.meters.sessions.Update(float64(e.sessionCount()))
	e.logResources(free, queued)
}

// resourceLogInterval is the least time between two log lines about the minion's
// resources.
const resourceLogInterval = time.Second

// logResources logs how the minion's resources are used, at most once in
// resourceLogInterval.
func (e *Executor) logResources(free, queued int64) {
	now := time.Now()
	if now.Before(e.nextResourceLog) {
		return
	}
	e.nextResourceLog = now.Add(resourceLogInterval)
	for entry, age := range e.core.EntryContactAges(boottime.Now()) {
		e.meters.entryAge(entry, age)
	}
	phases := e.core.Phases()
	e.deps.Log.Routine(eventlog.KindResources).Int64(eventlog.FieldFreeMilliCPU, free).Int64("queued_millicpu", queued).
		Int("queued", phases.Queued).Int("starting", phases.Starting).Int("unproved", phases.Unconfirmed).
		Int("running", phases.Running).Int("stopping", phases.Stopping).Int("unclaimed", phases.Unclaimed).
		Float64(eventlog.FieldPace, e.core.Pace(boottime.Now())).Msg("")
}

func (e *Executor) logDecision(note execution.LogEvent) {
	switch note.Kind {
	case execution.LogRunEnded:
		e.meters.end(note.End)
		line := e.deps.Log.Routine(eventlog.KindRunEnded)
		if note.End != work.EndDone && note.End != work.EndStopped {
			line = e.deps.Log.Failure(eventlog.KindRunFailed)
		}
		line.Str(eventlog.FieldJob, string(note.Task.Job)).Int(eventlog.FieldTask, note.Task.Index).
			Str(eventlog.FieldOutcome, note.End.String()).Dur(eventlog.FieldDuration, note.Took).
			Dur(eventlog.FieldEstimate, note.Estimate).Dur(eventlog.FieldWaited, note.Waited).
			Dur(eventlog.FieldStartAnswered, note.Answered).Str(eventlog.FieldRoute, note.Route).Msg("")
	case execution.LogMinionCrashed:
		e.meters.minionCrashes.Inc(1)
		e.deps.Log.Failure(eventlog.KindMinionCrashed).Int(eventlog.FieldCount, note.Runs).
			Dur(eventlog.FieldYoungestRun, note.Youngest).Msg("")
	case execution.LogEntrySilent:
		e.closeSession(note.Entry)
		e.deps.Log.Failure(eventlog.KindEntrySilent).Str(eventlog.FieldPeer, note.Entry).Msg("")
	case execution.LogEndUncertain:
		e.deps.Log.Failure(eventlog.KindEndUncertain).Str(eventlog.FieldJob, string(note.Task.Job)).
			Int(eventlog.FieldTask, note.Task.Index).Str(eventlog.FieldOutcome, note.End.String()).Msg("")
	case execution.LogMinionSuspect:
		e.deps.Log.Failure(eventlog.KindMinionSuspect).Msg("")
	case execution.LogMinionTrusted:
		e.deps.Log.Failure(eventlog.KindMinionTrusted).Msg("")
	case execution.LogReportWithdrawn:
		e.deps.Log.Failure(eventlog.KindMalformed).Str(eventlog.FieldReason, "report of another incarnation").Msg("")
	case execution.LogMinionUnresponsive:
		e.deps.Log.Failure(eventlog.KindDependencyLost).Str(eventlog.FieldDependency, "minion").Msg("")
	}
}
