package heldjob

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// TestBurst submits a burst of twice the capacity to two minions. As many jobs
// complete as there is capacity for, the others are refused immediately, and no
// admitted job is given up.
func TestBurst(t *testing.T) {
	f := newFixture(t, 2)
	free := map[string]int64{"s0": 10000, "s1": 10000}
	type run struct {
		start StartTasks
		ends  time.Time
	}
	var runs []run
	refused, completed, jobs := 0, 0, 200
	for i := range jobs {
		f.now = f.now.Add(12 * time.Millisecond)
		for len(runs) > 0 && !runs[0].ends.After(f.now) {
			free[runs[0].start.Sidecar] += 4000
			f.endRuns(runs[0].start, work.EndDone)
			runs = runs[1:]
		}
		for name, room := range free {
			f.core.Updated(f.now, name, f.state(room))
		}
		f.submit(fmt.Sprintf("j%d", i), 1)
		starts := f.starts
		f.starts = nil
		for _, start := range starts {
			begin := f.now
			if free[start.Sidecar] < 4000 && len(runs) > 0 {
				begin = runs[0].ends
			}
			free[start.Sidecar] -= 4000
			f.core.StartReplied(f.now, start.Sidecar, &start.Request, &session.StartReply{
				Refusals: make([]session.Refusal, 1), State: f.state(free[start.Sidecar]),
			})
			runs = append(runs, run{start, begin.Add(200 * time.Millisecond)})
		}
	}
	for _, answer := range f.replies {
		switch answer.Outcome {
		case Completed:
			completed++
		case Refused:
			refused++
		}
	}
	must.Positive(t, refused)
	must.EqOp(t, jobs, completed+refused+f.core.ActiveJobs())
	// Four runs of 200 ms at a time over 2.4 s are 48 jobs.
	must.Greater(t, 45, completed+f.core.ActiveJobs())
}
