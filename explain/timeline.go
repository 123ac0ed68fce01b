package explain

import (
	"slices"
	"time"

	"github.com/figring/figring/common/eventlog"
	"github.com/figring/figring/decision/heldjob"
)

// timelineMargin is the time before and after a request in which state changes of
// the processes involved belong to its timeline.
const timelineMargin = time.Second

// processStateKinds are the kinds of events that report a change of a process's
// state or of its view of the system.
var processStateKinds = []eventlog.Kind{
	eventlog.KindStart, eventlog.KindStop, eventlog.KindDependencyLost, eventlog.KindDependencyRegained, eventlog.KindManifest,
	eventlog.KindMinion, eventlog.KindMinionCrashed, eventlog.KindMinionSuspect, eventlog.KindMinionTrusted, eventlog.KindEntrySilent, eventlog.KindReload,
}

// Timeline holds the log lines of one request, and the state changes of the
// processes involved, in order of time.
type Timeline struct {
	Job   string
	Lines []Line
	// Cause is a sentence on how the request ended and why, as far as the logs
	// show it.
	Cause string
}

// BuildTimeline returns the timeline of a request, given the ID of the request or
// of its job. It reports false when no line belongs to the request.
func BuildTimeline(lines []Line, id string) (Timeline, bool) {
	job := jobOf(lines, id)
	jobLines := slices.DeleteFunc(slices.Clone(lines), func(line Line) bool { return line.Job != job })
	if job == "" || len(jobLines) == 0 {
		return Timeline{}, false
	}
	slices.SortStableFunc(jobLines, byTime)
	timeline := Timeline{Job: job, Cause: describeCause(jobLines)}
	timeline.Lines = append(jobLines, relatedProcessLines(lines, jobLines)...)
	slices.SortStableFunc(timeline.Lines, byTime)
	return timeline, true
}

func byTime(a, b Line) int { return a.Time.Compare(b.Time) }

// jobOf returns the ID of the job, given the ID of the job or of its request.
func jobOf(lines []Line, id string) string {
	for _, line := range lines {
		if line.Job == id || (line.Request == id && line.Job != "") {
			return line.Job
		}
	}
	return ""
}

// relatedProcessLines returns the state changes that the processes involved in the
// request logged around the time of the request.
func relatedProcessLines(lines, jobLines []Line) []Line {
	from, to := jobLines[0].Time.Add(-timelineMargin), jobLines[len(jobLines)-1].Time.Add(timelineMargin)
	processes := make(map[string]bool)
	for _, line := range jobLines {
		processes[line.Process] = true
		if peer, ok := line.Fields[eventlog.FieldPeer].(string); ok {
			processes[peer] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(lines), func(line Line) bool {
		if line.Job != "" || !processes[line.Process] || !slices.Contains(processStateKinds, line.Kind) {
			return true
		}
		return line.Time.Before(from) || line.Time.After(to)
	})
}

// describeCause describes how the request ended, from its lines in order of time.
func describeCause(jobLines []Line) string {
	freedAt, last := "", Line{}
	for _, line := range jobLines {
		switch line.Kind {
		case eventlog.KindTaskFreed:
			freedAt = stringField(line.Fields, eventlog.FieldReason) + " at " + stringField(line.Fields, eventlog.FieldPeer)
		case eventlog.KindRefused, eventlog.KindAnswered, eventlog.KindJobFailed:
			last = line
		}
	}
	if last.Kind == "" {
		return "no answer is logged: the entry ended or was cut off before it gave one"
	}
	outcome, reason := stringField(last.Fields, eventlog.FieldOutcome), stringField(last.Fields, eventlog.FieldReason)
	sentence := "answered as " + outcome
	if reason != "" {
		sentence += ", " + explanation(heldjob.Reason(reason))
	}
	if freedAt != "" && outcome != heldjob.Completed.String() {
		sentence += "; a task had to be placed again: " + freedAt
	}
	return sentence
}

// explanations maps the reasons in the log to descriptions for operators.
var explanations = map[heldjob.Reason]string{
	heldjob.ReasonOverload:         "no minion had room in time",
	heldjob.ReasonNoManifest:       "the entry had no manifest yet",
	heldjob.ReasonNoTargets:        "no sidecar took orders for the service",
	heldjob.ReasonTooLate:          "the caller's deadline was too close for the job to end before it",
	heldjob.ReasonUnsupported:      "the job asks for what is not built",
	heldjob.ReasonDeadline:         "the caller's deadline came first",
	heldjob.ReasonCallerGone:       "the caller closed the connection",
	heldjob.ReasonTaskFailed:       "a task failed as often as its route allows",
	heldjob.ReasonStoreUnavailable: "the platform's table did not take the job in time",
	heldjob.ReasonTooManyJobs:      "too many stored jobs waited at the entry",
	heldjob.ReasonDraining:         "the entry was being stopped",
}

func explanation(reason heldjob.Reason) string {
	if known, ok := explanations[reason]; ok {
		return known
	}
	return string(reason)
}
