package explain

import (
	"slices"
	"time"

	"github.com/figring/figring/common/eventlog"
	"github.com/figring/figring/decision/heldjob"
)

// margin is the time around a request in which what its processes came to
// believe is part of its story.
const margin = time.Second

// beliefs are the kinds of lines that tell what a process came to believe.
var beliefs = []eventlog.Kind{
	eventlog.KindStart, eventlog.KindStop, eventlog.KindDependencyLost, eventlog.KindDependencyRegained, eventlog.KindManifest,
	eventlog.KindMinion, eventlog.KindMinionSuspect, eventlog.KindMinionTrusted, eventlog.KindEntrySilent, eventlog.KindReload,
}

// Timeline is what the logs tell of one request.
type Timeline struct {
	Job   string
	Lines []Line
	// Cause says in a sentence how the request ended and why, as far as the
	// logs tell.
	Cause string
}

// BuildTimeline returns the story of the request, named by its own id or its job's.
// Without lines of it, false is returned.
func BuildTimeline(lines []Line, id string) (Timeline, bool) {
	job := jobOf(lines, id)
	own := slices.DeleteFunc(slices.Clone(lines), func(line Line) bool { return line.Job != job })
	if job == "" || len(own) == 0 {
		return Timeline{}, false
	}
	slices.SortStableFunc(own, byTime)
	story := Timeline{Job: job, Cause: cause(own)}
	story.Lines = append(own, around(lines, own)...)
	slices.SortStableFunc(story.Lines, byTime)
	return story, true
}

func byTime(a, b Line) int { return a.Time.Compare(b.Time) }

func jobOf(lines []Line, id string) string {
	for _, line := range lines {
		if line.Job == id || (line.Request == id && line.Job != "") {
			return line.Job
		}
	}
	return ""
}

// around returns what the processes of the request came to believe meanwhile.
func around(lines, own []Line) []Line {
	from, to := own[0].Time.Add(-margin), own[len(own)-1].Time.Add(margin)
	processes := make(map[string]bool)
	for _, line := range own {
		processes[line.Process] = true
		if peer, ok := line.Fields[eventlog.FieldPeer].(string); ok {
			processes[peer] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(lines), func(line Line) bool {
		if line.Job != "" || !processes[line.Process] || !slices.Contains(beliefs, line.Kind) {
			return true
		}
		return line.Time.Before(from) || line.Time.After(to)
	})
}

// cause tells how the request ended, from its lines in order of time.
func cause(own []Line) string {
	freed, last := "", Line{}
	for _, line := range own {
		switch line.Kind {
		case eventlog.KindTaskFreed:
			freed = text(line.Fields, eventlog.FieldReason) + " at " + text(line.Fields, eventlog.FieldPeer)
		case eventlog.KindRefused, eventlog.KindAnswered, eventlog.KindJobFailed:
			last = line
		}
	}
	if last.Kind == "" {
		return "no answer is logged: the entry ended or was cut off before it gave one"
	}
	outcome, reason := text(last.Fields, eventlog.FieldOutcome), text(last.Fields, eventlog.FieldReason)
	told := "answered as " + outcome
	if reason != "" {
		told += ", " + explanation(heldjob.Reason(reason))
	}
	if freed != "" && outcome != heldjob.Completed.String() {
		told += "; a task had to be placed again: " + freed
	}
	return told
}

// explanations say what a reason means.
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
	heldjob.ReasonDraining:         "the entry was stopped before the job ended",
}

func explanation(reason heldjob.Reason) string {
	if known, ok := explanations[reason]; ok {
		return known
	}
	return string(reason)
}
