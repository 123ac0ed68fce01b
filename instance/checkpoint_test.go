package instance

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/figring/figring/platform/standin"
)

// checkpointingJob returns the body of a stored job with one task that writes a checkpoint
// every 50 ms.
func checkpointingJob(t *testing.T, work time.Duration) map[string]any {
	t.Helper()
	body := storedJob(1, 4000, work)
	spec, err := json.Marshal(standin.Spec{WorkMillis: int(work.Milliseconds()), CheckpointMillis: 50})
	must.NoError(t, err)
	body["spec"] = string(spec)
	return body
}

// runsOf returns the runs of a job, ordered by start.
func (s *system) runsOf(id string) []standin.Entry {
	var runs []standin.Entry
	for _, entry := range s.ledger.Entries() {
		if entry.Task[:len(id)] == id {
			runs = append(runs, entry)
		}
	}
	return runs
}

// TestRunResumesFromCheckpoint guards against lost work when the lease of a run
// expires: the next run must resume from the checkpoint of the first.
func TestRunResumesFromCheckpoint(t *testing.T) {
	const length = 1500 * time.Millisecond
	s := newSystem(t, 1, 1)
	must.EqOp(t, http.StatusOK, s.submit(s.entries[0], storedJobID(0), checkpointingJob(t, length)).status)
	must.Wait(t, wait.InitialSuccess(
		wait.BoolFunc(func() bool { return s.activeRuns(storedJobID(0)) == 1 }), wait.Timeout(5*time.Second), wait.Gap(10*time.Millisecond),
	))
	time.Sleep(length / 2)
	s.minions[0].ExpireLease()
	s.awaitState(s.entries[0], storedJobID(0), "completed", 10*time.Second)
	runs := s.runsOf(storedJobID(0))
	must.Len(t, 2, runs)
	must.EqOp(t, "lapsed", runs[0].Outcome)
	must.Greater(t, length/4, runs[1].Resumed)
	must.Less(t, length, runs[1].Resumed)
	must.Len(t, 0, s.ledger.ForeignCheckpoints())
	s.checkAtMostOnce()
}
