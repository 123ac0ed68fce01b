package explain

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const logs = `
   1.0 edge-1 {"time":"2026-01-01T10:00:01.000","level":"info","process":"edge-1","event":"admitted","job":"j1","request":"r1","expected_wait":0}
{"time":"2026-01-01T10:00:01.001","level":"info","process":"side-1","event":"order_taken","job":"j1","task":0,"peer":"edge-1"}
{"time":"2026-01-01T10:00:01.500","level":"info","process":"edge-1","event":"dependency_lost","dependency":"side-1"}
{"time":"2026-01-01T10:00:01.400","level":"info","process":"edge-9","event":"dependency_lost","dependency":"side-1"}
{"time":"2026-01-01T10:00:02.500","level":"info","process":"edge-1","event":"task_freed","job":"j1","task":0,"peer":"side-1","reason":"lapsed"}
{"time":"2026-01-01T10:00:03.000","level":"info","process":"edge-1","event":"job_failed","job":"j1","outcome":"given_up","reason":"deadline"}
{"time":"2026-01-01T10:00:03.000","level":"info","process":"edge-1","event":"lines_left_out","reason":"admitted","count":7}
{"time":"2026-01-01T10:00:04.000","level":"info","process":"edge-1","event":"refused","job":"j2","request":"r2","outcome":"refused","reason":"overload"}
not a line
{"broken":
`

func read(t *testing.T) []Line {
	t.Helper()
	lines, err := Read(strings.NewReader(logs))
	must.NoError(t, err)
	return lines
}

func TestTimelineOfALostSidecar(t *testing.T) {
	timeline, ok := BuildTimeline(read(t), "r1")
	must.True(t, ok)
	must.EqOp(t, "j1", timeline.Job)
	must.Len(t, 5, timeline.Lines)
	must.EqOp(t, "answered as given_up, the caller's deadline came first; a task had to be placed again: lapsed at side-1", timeline.Cause)
	must.StrContains(t, timeline.Lines[2].String(), "dependency_lost")
}

func TestTimelineOfARefusal(t *testing.T) {
	timeline, ok := BuildTimeline(read(t), "j2")
	must.True(t, ok)
	must.EqOp(t, "answered as refused, no minion had room in time", timeline.Cause)
}

func TestUnknownRequestHasNoTimeline(t *testing.T) {
	_, ok := BuildTimeline(read(t), "none")
	must.False(t, ok)
}

func TestSummaryCountsDroppedLines(t *testing.T) {
	counts := Summarize(read(t))
	must.EqOp(t, 7, counts[0].Count)
	must.EqOp(t, "admitted", counts[0].Reason)
}

// FuzzRead checks that no input makes the package panic.
func FuzzRead(f *testing.F) {
	f.Add(logs)
	f.Add(`{"time":1,"event":[]}`)
	f.Fuzz(func(t *testing.T, raw string) {
		lines, _ := Read(strings.NewReader(raw))
		for _, line := range lines {
			_ = line.String()
		}
		BuildTimeline(lines, "j1")
		Summarize(lines)
	})
}
