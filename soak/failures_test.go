package soak

import (
	"strings"
	"testing"
	"time"
)

// attempts is the number of failed runs after which a task's job fails.
const attempts = 3

// jobsWithFailedTask returns the jobs of which a task has failed in each of its attempts.
func jobsWithFailedTask(w *cluster) map[string]bool {
	failedRuns := make(map[string]int)
	failed := make(map[string]bool)
	for _, run := range w.ledger.Entries() {
		if run.Outcome != "failed" {
			continue
		}
		failedRuns[run.Task]++
		id, _, _ := strings.Cut(run.Task, ".")
		failed[id] = failed[id] || failedRuns[run.Task] >= attempts
	}
	return failed
}

// checkFailures checks that a job is shown as failed only if a task of it has failed in each
// of its attempts.
func (c *storedClients) checkFailures(t *testing.T) {
	failed := jobsWithFailedTask(c.w)
	for id, state := range c.ends {
		if state == "failed" && !failed[id] {
			t.Errorf("job %s is shown as failed, though no task of it has failed %d times", id, attempts)
		}
	}
}

// checkAttempts checks that no task of the jobs started after so many of its runs had failed
// as its route allows. Ends that were never acknowledged may be lost with their minion.
func checkAttempts(t *testing.T, w *cluster, jobs map[string]bool) {
	failedAt := make(map[string][]time.Time)
	runs := w.ledger.Entries()
	for _, run := range runs {
		if run.Noted("failed") {
			failedAt[run.Task] = append(failedAt[run.Task], run.Ended)
		}
	}
	for _, run := range runs {
		before := 0
		for _, at := range failedAt[run.Task] {
			if at.Before(run.Started) {
				before++
			}
		}
		if id, _, _ := strings.Cut(run.Task, "."); jobs[id] && before >= attempts {
			t.Errorf("task %s started after it had failed %d times", run.Task, before)
		}
	}
}
