package command

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/figring/figring/where"
)

// writeWhere writes the reply of a dispatcher as a table.
func writeWhere(out io.Writer, reply *where.Reply) {
	writeRow(out, fmt.Sprintf("route %s, service %s, priority %d: %s", reply.Route, reply.Service, reply.Priority, verdictText(reply)))
	admission := &reply.Admission
	writeRow(out, fmt.Sprintf("expected wait %s, times %.2f, at most %s; slack %s; oldest state %s old; %d sidecars accept tasks",
		formatMS(admission.ExpectedWaitMS), admission.WaitFactor, formatMS(admission.MaxWaitMS),
		formatMS(admission.SlackMS), formatMS(admission.OldestStateAgeMS), reply.Targets))
	if load := admission.ClassLoad; load != nil {
		writeRow(out, fmt.Sprintf("class load in millicpu: demand %.0f, given %.0f, own %.0f, of %.0f usable; scarce: %s, fallback: %s; %s old",
			load.Demand, load.Given, load.Own, load.Usable, yesNo(load.Scarce), yesNo(load.Fallback), formatMS(load.AgeMS)))
	} else {
		writeRow(out, "class load: off for this class")
	}
	for i := range reply.Tasks {
		writeRow(out)
		writeWhereTask(out, &reply.Tasks[i])
	}
	if missing := reply.TaskCount - len(reply.Tasks); missing > 0 {
		writeRow(out, fmt.Sprintf("%d tasks are not shown", missing))
	}
}

// verdictText returns the verdict with its reason.
func verdictText(reply *where.Reply) string {
	text := reply.Verdict
	if reply.Reason != "" {
		text += ", " + reply.Reason
	}
	if reply.Shed {
		text += ", shed"
	}
	if reply.RetryAfterMS > 0 {
		text += ", retry after " + formatMS(reply.RetryAfterMS)
	}
	if reply.Settling {
		text += "; the entry is still meeting its sidecars"
	}
	return text
}

// writeWhereTask writes the place of a task and the candidates, the best one first and
// those that are ruled out last.
func writeWhereTask(out io.Writer, task *where.Task) {
	place := "no place: all sidecars are ruled out"
	switch {
	case task.Placed:
		place = "at " + task.Sidecar
	case task.Sidecar != "":
		place = "no place: too long a wait, also at the best one, " + task.Sidecar
	}
	writeRow(out, fmt.Sprintf("task %d of step %d: %s", task.Index, task.Step, place))
	if len(task.Candidates) == 0 {
		return
	}
	slices.SortStableFunc(task.Candidates, func(a, b where.Candidate) int {
		return cmp.Or(cmp.Compare(a.Excluded, b.Excluded), cmp.Compare(a.CostMS, b.CostMS))
	})
	writeRow(out, "SIDECAR", "ZONE", "STATE AGE", "WAIT", "RUN TIME", "COST", "PARTS OF THE COST")
	for i := range task.Candidates {
		writeWhereCandidate(out, &task.Candidates[i])
	}
}

func writeWhereCandidate(out io.Writer, candidate *where.Candidate) {
	age := formatMS(candidate.StateAgeMS)
	if candidate.Excluded != "" {
		writeRow(out, candidate.Sidecar, candidate.Zone, age, "-", "-", "-", "ruled out: "+candidate.Excluded)
		return
	}
	runTime := "-"
	if candidate.RunTimeMS > 0 {
		runTime = formatMS(candidate.RunTimeMS)
	}
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(candidate.CostsMS)) {
		parts = append(parts, fmt.Sprintf("%s %.1f", name, candidate.CostsMS[name]))
	}
	writeRow(out, candidate.Sidecar, candidate.Zone, age, formatMS(candidate.WaitMS), runTime, formatMS(candidate.CostMS), strings.Join(parts, ", "))
}

func formatMS(milliseconds float64) string { return fmt.Sprintf("%.1f ms", milliseconds) }
