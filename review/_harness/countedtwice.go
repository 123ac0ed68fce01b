package main

import (
	"fmt"
	"time"
)

const (
	// The process is killed killCount times, killEvery apart, and starts again after
	// killPause.
	killCount = 4
	killEvery = 8 * time.Second
	killPause = time.Second
	// attempts is that of the route.
	attempts = 3
)

// runCountedTwice kills the entry of some clients a few times while some runs fail. It checks the part of LOST about
// jobs that are shown as failed: only ends "failed" count as attempts.
func runCountedTwice(c *cluster, trouble bool) ([]string, error) {
	sent, caller := newJobs(), newClient(c)
	failures := []int{0, 2, 0, 2, 0}
	end := traffic{caller, sent, 20 * time.Millisecond, []int{0}, func(number int) (string, jobBody) {
		return renewalChecks, jobBody{
			Spec:  specOf(taskPlan{Millis: []int{100}, Failures: failures[number%len(failures)]}),
			Steps: []step{{Count: 1, MilliCPU: 3100, MemMB: 64, Estimate: 100}},
		}
	}}.start()
	for range killCount {
		time.Sleep(killEvery)
		if trouble {
			c.kill(entryName(0), killPause)
		}
	}
	time.Sleep(killEvery)
	end()
	sent.sayTotals(c.record)
	time.Sleep(finishTime)
	runs := c.ledger.byJob()
	counts := make(map[string]int)
	var broken []string
	for _, job := range sent.list() {
		status, state := caller.state(1, job.path())
		counts[fmt.Sprintf("%d %s", status, state)]++
		if state != "failed" {
			continue
		}
		failed := mostFailed(runs[job.id])
		if failed < attempts {
			broken = append(broken, fmt.Sprintf("LOST: job %s, accepted at %.3f s by %s, is shown as failed; no task of it has failed more than %d times, attempts is %d; its runs: %s",
				job.id, c.record.seconds(job.acceptedAt), entryName(job.entry), failed, attempts, describe(c, runs[job.id])))
		}
	}
	c.record.say("accepted jobs by their state now: %v", counts)
	return broken, nil
}

// mostFailed returns the number of failed runs of the task that has failed most often.
func mostFailed(runs []ledgerRun) int {
	counts, most := make(map[string]int), 0
	for _, run := range runs {
		if run.how == "failed" {
			counts[run.task]++
			most = max(most, counts[run.task])
		}
	}
	return most
}

// describe lists runs with their ends.
func describe(c *cluster, runs []ledgerRun) string {
	text := ""
	for _, run := range runs {
		how := run.how
		if run.ended.IsZero() {
			how = "at work"
		}
		text += fmt.Sprintf(" [%s on %s from %.3f to %.3f: %s]", run.task[jobDigits+1:], run.minion, c.record.seconds(run.started), c.record.seconds(run.ended), how)
	}
	return text
}
