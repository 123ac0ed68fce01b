package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	largeSteps = 460
	largeSpec  = 4000
	giftSteps  = 7
	// finishTime is finish_s of the deployments, and idleTime the 3 s of the rule.
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
)

// runLargeJob submits one job of many steps among the usual ones. It checks the last part
// of LOST: finish_s after the end of the traffic no job has nothing running for 3 s while
// a task's turn has come and the minions are idle.
func runLargeJob(c *cluster, trouble bool) ([]string, error) {
	sent, caller := newJobs(), newClient(c)
	end := traffic{caller, sent, 25 * time.Millisecond, []int{0, 1, 2}, func(number int) (string, jobBody) {
		if number%4 == 0 {
			return giftEnrols, giftEnrol()
		}
		return renewalChecks, jobBody{Spec: specOf(taskPlan{Millis: []int{60, 200}}), Steps: []step{
			{Count: 8, MilliCPU: 3100, MemMB: 64, Estimate: 60},
			{Count: 2, MilliCPU: 3100, MemMB: 64, Estimate: 200, After: []int{0}},
		}}
	}}.start()
	time.Sleep(3 * time.Second)
	large := &sentJob{id: newJobID(), prefix: giftEnrols, body: largeJob(trouble)}
	began := time.Now()
	status, _ := caller.call(0, http.MethodPost, large.path(), large.body)
	c.record.say("job %s of %d steps sent once, at %s; answer %d after %s", large.id, len(large.body.Steps), entryName(0), status, time.Since(began).Round(time.Millisecond))
	time.Sleep(36 * time.Second)
	end()
	sent.sayTotals(c.record)
	c.record.say("the traffic ends; %d runs at work", c.ledger.atWork())
	time.Sleep(finishTime)
	stalled := observeStalled(c, sent.list())
	sayStates(c, caller, sent.list())
	c.record.say("store: %d calls rejected", c.store.rejected)
	var broken []string
	for _, job := range stalled {
		broken = append(broken, fmt.Sprintf("LOST: job %s, accepted at %.3f s by %s, has nothing running for %s though a task's turn has come and the minions are idle", job.id, c.record.seconds(job.acceptedAt), entryName(job.entry), idleTime))
	}
	return broken, nil
}

// giftEnrol returns a job of several steps, one after the other.
func giftEnrol() jobBody {
	body := jobBody{Spec: specOf(taskPlan{Millis: []int{900}})}
	for number := range giftSteps {
		one := step{Count: 1, MilliCPU: 1000, MemMB: 64, Estimate: 900}
		if number > 0 {
			one.After = []int{number - 1}
		}
		body.Steps = append(body.Steps, one)
	}
	return body
}

// largeJob returns the job in question. Without trouble it has as many tasks in one step.
func largeJob(trouble bool) jobBody {
	body := jobBody{Spec: `{"ms":[20],"text":"`}
	body.Spec += strings.Repeat("x", largeSpec-len(body.Spec)-2) + `"}`
	if !trouble {
		body.Steps = []step{{Count: largeSteps, MilliCPU: 3100, MemMB: 64, Estimate: 20}}
		return body
	}
	for number := range largeSteps {
		one := step{Count: 1, MilliCPU: 3100, MemMB: 64, Estimate: 20}
		if number > 0 {
			one.After = []int{number - 1}
		}
		body.Steps = append(body.Steps, one)
	}
	return body
}

// observeStalled returns the jobs that have nothing running during idleTime although a
// task's turn has come, while less than half of the capacity is in use.
func observeStalled(c *cluster, accepted []*sentJob) []*sentJob {
	stalled := make(map[*sentJob]bool)
	for _, job := range accepted {
		stalled[job] = true
	}
	for until := time.Now().Add(idleTime); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		runs, working := c.ledger.byJob(), 0
		for _, found := range runs {
			for _, run := range found {
				if run.ended.IsZero() {
					working++
				}
			}
		}
		idle := working*3100 < sidecarCount*minionMilliCPU/2
		for job := range stalled {
			if !idle || !waits(job, runs[job.id]) {
				delete(stalled, job)
			}
		}
	}
	var found []*sentJob
	for _, job := range accepted {
		if stalled[job] {
			found = append(found, job)
		}
	}
	return found
}

// waits reports whether the job has nothing running and a task that is not done although
// all tasks of the steps before it are.
func waits(job *sentJob, runs []ledgerRun) bool {
	done := make(map[int]map[string]bool)
	for _, run := range runs {
		if run.ended.IsZero() {
			return false
		}
		if run.how == "done" {
			number := stepOf(run.task)
			if done[number] == nil {
				done[number] = make(map[string]bool)
			}
			done[number][run.task] = true
		}
	}
	for number, one := range job.body.Steps {
		ready := true
		for _, before := range one.After {
			ready = ready && len(done[before]) == job.body.Steps[before].Count
		}
		if ready && len(done[number]) < one.Count {
			return true
		}
	}
	return false
}

// sayStates records the states in which the jobs are shown.
func sayStates(c *cluster, caller *client, accepted []*sentJob) {
	counts := make(map[string]int)
	for i, job := range accepted {
		status, state := caller.state(i%entryCount, job.path())
		counts[fmt.Sprintf("%d %s", status, state)]++
	}
	unacknowledged := 0
	for _, run := range c.ledger.snapshot() {
		if !run.ended.IsZero() && !run.acknowledged && !run.lapsed {
			unacknowledged++
		}
	}
	c.record.say("accepted jobs by their state now: %v; ends that minions still list: %d", counts, unacknowledged)
}
