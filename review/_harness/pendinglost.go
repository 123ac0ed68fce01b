package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	waitingJobs = 40
	// visibleBound is visible_ms, and pendingAge the age that the number may have.
	visibleBound = 3 * time.Second
	pendingAge   = 2 * time.Second
	restartPause = time.Second
)

// runPendingLost kills one entry that has jobs which wait for room. It checks the part of
// MIXED about the number of pending jobs, at the two other entries.
func runPendingLost(c *cluster, trouble bool) ([]string, error) {
	sent, caller := newJobs(), newClient(c)
	for range sidecarCount {
		if sent.submit(caller, 1, renewalChecks, jobBody{Spec: specOf(taskPlan{Millis: []int{60000}}), Steps: []step{{Count: 1, MilliCPU: minionMilliCPU, MemMB: 64, Estimate: 60000}}}) == nil {
			return nil, fmt.Errorf("a job that fills a minion was not accepted")
		}
	}
	time.Sleep(time.Second)
	var waiting []*sentJob
	for range waitingJobs {
		job := sent.submit(caller, 0, addrConfirms, jobBody{Spec: specOf(taskPlan{Millis: []int{200}}), Steps: []step{{Count: 2, MilliCPU: 3100, MemMB: 64, Estimate: 200}}})
		if job != nil {
			waiting = append(waiting, job)
		}
	}
	sent.sayTotals(c.record)
	if len(waiting) < waitingJobs/2 {
		return nil, fmt.Errorf("only %d jobs that wait were accepted", len(waiting))
	}
	time.Sleep(visibleBound + pendingAge + time.Second)
	if trouble {
		c.kill(entryName(0), restartPause)
	}
	var broken []string
	for until := time.Now().Add(14 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		for entry := 1; entry < entryCount; entry++ {
			if line := checkPending(c, caller, entry, waiting); line != "" {
				broken = append(broken, line)
			}
		}
	}
	return broken, nil
}

// checkPending asks an entry for the number of pending jobs and returns what is wrong with
// the answer.
func checkPending(c *cluster, caller *client, entry int, waiting []*sentJob) string {
	status, raw := caller.call(entry, http.MethodGet, addrConfirms, nil)
	var body struct {
		Pending int `json:"pending"`
	}
	if status != http.StatusOK || json.Unmarshal(raw, &body) != nil {
		c.record.say("%s answers %d to GET %s", entryName(entry), status, addrConfirms)
		return ""
	}
	due, runs := 0, c.ledger.byJob()
	for _, job := range waiting {
		if len(runs[job.id]) == 0 && time.Since(job.acceptedAt) > visibleBound+pendingAge {
			due++
		}
	}
	if 2*body.Pending >= due {
		return ""
	}
	line := fmt.Sprintf("MIXED: %s gives %d as pending; %d jobs were accepted over %s before and have not begun", entryName(entry), body.Pending, due, visibleBound+pendingAge)
	c.record.say("%s", line)
	return line
}
