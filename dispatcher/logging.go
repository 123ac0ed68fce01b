package dispatcher

import (
	"github.com/phuslu/log"

	"github.com/figring/figring/common/eventlog"
	"github.com/figring/figring/decision/heldjob"
)

// logDecisions logs the core's decisions since the last call.
func (d *Dispatcher) logDecisions() {
	for _, decision := range d.core.Decisions() {
		d.logDecision(decision)
	}
	d.meters.open.Update(float64(d.core.JobCount()))
	d.meters.jobBytes.Update(float64(d.core.JobMemory()))
}

func (d *Dispatcher) logDecision(decision heldjob.Decision) {
	switch decision.Kind {
	case heldjob.DecidedAdmitted:
		d.addDecisionFields(d.deps.Log.Routine(eventlog.KindAdmitted), decision).
			Dur(eventlog.FieldExpectedWait, decision.Wait).Dur(eventlog.FieldStateAge, decision.Age).Msg("")
	case heldjob.DecidedRefused:
		line := d.addDecisionFields(d.deps.Log.Failure(eventlog.KindRefused), decision).
			Dur(eventlog.FieldExpectedWait, decision.Wait).Int(eventlog.FieldTargets, decision.Targets)
		if decision.Shed {
			line = line.Bool(eventlog.FieldShed, true)
		}
		line.Msg("")
	case heldjob.DecidedTaskFreed:
		d.meters.taskFreed(decision.Reason)
		d.addDecisionFields(d.deps.Log.Failure(eventlog.KindTaskFreed), decision).
			Int(eventlog.FieldTask, decision.Task).Str(eventlog.FieldPeer, decision.Sidecar).Msg("")
	case heldjob.DecidedAnswered:
		d.logAnswer(decision)
	case heldjob.DecidedDisowned:
		d.addDecisionFields(d.deps.Log.Failure(eventlog.KindDisowned), decision).Msg("")
	case heldjob.DecidedWithdrawn:
		d.addDecisionFields(d.deps.Log.Failure(eventlog.KindRunsWithdrawn), decision).Msg("")
	case heldjob.DecidedEpochBegun:
		d.addDecisionFields(d.deps.Log.Failure(eventlog.KindEpochBegun), decision).Int(eventlog.FieldEpoch, int(decision.Epoch)).Msg("")
	case heldjob.DecidedJoined:
		d.addDecisionFields(d.deps.Log.Failure(eventlog.KindJoined), decision).Msg("")
	case heldjob.DecidedPoison:
		d.addDecisionFields(d.deps.Log.Failure(eventlog.KindPoison), decision).
			Int(eventlog.FieldTask, decision.Task).Str(eventlog.FieldPeer, decision.Sidecar).Int(eventlog.FieldCount, decision.Crashes).Msg("")
	case heldjob.DecidedYields:
		d.addDecisionFields(d.deps.Log.Failure(eventlog.KindYields), decision).
			Int(eventlog.FieldTask, decision.Task).Int(eventlog.FieldCount, decision.Crashes).Msg("")
	case heldjob.DecidedRouteConfined, heldjob.DecidedRouteReleased:
		d.logConfinement(decision)
	case heldjob.DecidedMinionAvoided, heldjob.DecidedMinionUsed:
		d.logMinionUse(decision)
	case heldjob.DecidedPairFound, heldjob.DecidedPairDropped:
		d.logPair(decision)
	case heldjob.DecidedRepeated:
		d.addDecisionFields(d.deps.Log.Failure(eventlog.KindRepeated), decision).Msg("")
	}
}

// logConfinement logs that a route is confined to a few sidecars, or is not any more.
func (d *Dispatcher) logConfinement(decision heldjob.Decision) {
	kind := eventlog.KindRouteReleased
	if decision.Kind == heldjob.DecidedRouteConfined {
		kind = eventlog.KindRouteConfined
		d.meters.confinements.Inc(1)
	}
	d.deps.Log.Failure(kind).Str(eventlog.FieldRoute, decision.Route).Int(eventlog.FieldCount, decision.Crashes).Msg("")
}

// logMinionUse logs that tasks begin to avoid a minion for its failures, or use it again.
func (d *Dispatcher) logMinionUse(decision heldjob.Decision) {
	kind := eventlog.KindMinionUsed
	if decision.Kind == heldjob.DecidedMinionAvoided {
		kind = eventlog.KindMinionAvoided
		d.meters.minionsAvoided.Inc(1)
	}
	d.deps.Log.Failure(kind).Str(eventlog.FieldPeer, decision.Sidecar).Float64(eventlog.FieldShare, decision.Share).Msg("")
}

// logPair logs that a pair of kinds of tasks begins or ceases to count as interfering.
func (d *Dispatcher) logPair(decision heldjob.Decision) {
	kind, counter := eventlog.KindPairDropped, d.meters.pairsDropped
	if decision.Kind == heldjob.DecidedPairFound {
		kind, counter = eventlog.KindPairFound, d.meters.pairsFound
	}
	counter.Inc(1)
	d.deps.Log.Failure(kind).Str(eventlog.FieldSlowed, decision.Slowed).Str(eventlog.FieldBeside, decision.Beside).
		Float64(eventlog.FieldShare, decision.Share).Msg("")
}

func (d *Dispatcher) logAnswer(decision heldjob.Decision) {
	line := d.deps.Log.Routine(eventlog.KindAnswered)
	if decision.Outcome != heldjob.Completed {
		line = d.deps.Log.Failure(eventlog.KindJobFailed)
	}
	d.addDecisionFields(line, decision).Msg("")
}

func (d *Dispatcher) addDecisionFields(line *log.Entry, decision heldjob.Decision) *log.Entry {
	line = line.Str(eventlog.FieldJob, string(decision.Job))
	if decision.Request != "" {
		line = line.Str(eventlog.FieldRequest, decision.Request)
	}
	if decision.Route != "" {
		line = line.Str(eventlog.FieldRoute, decision.Route)
	}
	if decision.Outcome != 0 {
		line = line.Str(eventlog.FieldOutcome, decision.Outcome.String())
	}
	if decision.Reason != "" {
		line = line.Str(eventlog.FieldReason, decision.Reason)
	}
	return line
}
