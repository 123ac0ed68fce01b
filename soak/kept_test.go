package soak

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// keptNetwork is the third octet of the loopback addresses of this test. It
// differs from those of the seeds.
const keptNetwork = 91

// TestAcceptedJobsOutliveEveryProcess guards against accepted stored jobs that
// are lost, or whose tasks are done twice, when every process is killed right
// after the acceptance. It does so in four rounds.
func TestAcceptedJobsOutliveEveryProcess(t *testing.T) {
	w := newCluster(t, build(t), keptNetwork)
	told := newCallers(w)
	told.need = 800
	awaitService(t, told, "at the start")
	var accepted []string
	for round := range 4 {
		for i := range 15 {
			id := fmt.Sprintf("%016x", 0xb000+100*round+i)
			if status, _ := told.submitStored(id, i%entries, 2, 150); status == http.StatusOK {
				accepted = append(accepted, id)
			}
		}
		for i := range sidecars {
			w.signal(sidecarName(i), syscall.SIGKILL)
		}
		for i := range entries {
			w.signal(entryName(i), syscall.SIGKILL)
		}
		awaitService(t, told, "after all processes were killed")
	}
	must.Greater(t, 40, len(accepted))
	until := time.Now().Add(time.Minute)
	for _, id := range accepted {
		state := ""
		for state != "completed" && time.Now().Before(until) {
			state = told.state(id, 0)
			if state != "completed" {
				time.Sleep(50 * time.Millisecond)
			}
		}
		if state != "completed" {
			t.Errorf("job %s was accepted but its state is %q", id, state)
		}
	}
	done := make(map[string]int)
	for _, entry := range w.ledger.Entries() {
		if entry.Outcome == "done" {
			done[entry.Task]++
		}
	}
	for task, count := range done {
		if count > 1 && len(task) > 0 && task[:13] == "000000000000b" {
			t.Errorf("task %s was done %d times", task, count)
		}
	}
	must.Len(t, 0, w.ledger.Overlaps())
	must.Len(t, 0, w.ledger.ForeignCheckpoints())
	if t.Failed() {
		keepLogs(t, w, keptNetwork)
	}
}
