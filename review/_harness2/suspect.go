package main

import (
	"fmt"
	"time"

	"github.com/figring/figring/platform/standin"
)

func init() { cases["suspect"] = playSuspect }

// manifestOf returns a manifest with one queue.
func manifestOf(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r", "host": host, "prefix": prefix, "service": "desk", "attempts": 4, "stretch": 1.6, "slo_ms": 300, "priority": 1, "timeout_ms": 30000,
		}},
		"services": []map[string]any{{"name": "desk", "enforces_capacity": false}},
		"limits":   map[string]any{"max_body_bytes": 262144},
	}
}

// fleet returns eleven workers in three zones, three a rack. The one at the place odd is of
// kind b, all others are of kind a.
func fleet(odd int) []worker {
	var workers []worker
	for i := range 11 {
		kind := "a"
		if i == odd {
			kind = "b"
		}
		workers = append(workers, worker{
			zone: zoneNames[i%3], labels: []string{kind, fmt.Sprintf("r1-%d", i/3)}, service: "desk", cpu: 32000,
		})
	}
	return workers
}

var zoneNames = []string{"zone-a", "zone-b", "zone-c"}

const (
	// greyTime is how long the worker fails all that it starts.
	greyTime = 6500 * time.Millisecond
	// oddJobs is the number of jobs that only the odd worker may run.
	oddJobs = 6
	// finishTime is finish_s of the pages, stuckTime the time of the rule LOST.
	finishTime = 14 * time.Second
	stuckTime  = 3 * time.Second
)

// playSuspect hands in a few kept jobs that only one worker may run. With trouble that
// worker fails all that it starts for a while.
func playSuspect(r *record, trouble bool) int {
	const odd = 4
	c, err := newCluster(r, zoneNames, fleet(odd))
	if err != nil {
		r.note("%v", err)
		return failed
	}
	defer c.end()
	if err := c.start(manifestOf(1)); err != nil {
		r.note("%v", err)
		return failed
	}
	if err := c.awaitReady(15 * time.Second); err != nil {
		r.note("%v", err)
		return failed
	}
	time.Sleep(4 * time.Second)
	client := newClients(c)
	greyUntil := time.Now().Add(greyTime)
	if trouble {
		r.note("worker i-%d fails all that it starts, for %v", odd, greyTime)
		c.minions[odd].SetFaults(standin.Faults{Fail: 1})
	}
	var accepted []string
	var trafficEnd time.Time
	// Every half second comes a job that workers of kind a may run, until two seconds after
	// the worker is sound again. The first six come with one that only it may run.
	for i := 0; time.Now().Before(greyUntil.Add(2 * time.Second)); i++ {
		if !time.Now().Before(greyUntil) && trouble {
			c.minions[odd].SetFaults(standin.Faults{})
			r.note("worker i-%d is sound", odd)
			trouble = false
		}
		kinds := []string{"a"}
		if i < oddJobs {
			kinds = append(kinds, "b")
		}
		for k, kind := range kinds {
			id := jobID(2*i + k)
			body := jobBody(standin.Spec{WorkMillis: 200, MilliCPU: 3100}, step{Count: 1, CPU: 3100, MemMB: 64, Estimate: 200, Label: kind})
			if client.submit(id, i%len(c.zones), body) {
				accepted = append(accepted, id)
			}
		}
		trafficEnd = time.Now()
		time.Sleep(500 * time.Millisecond)
	}
	r.note("end of the traffic")
	time.Sleep(time.Until(trafficEnd.Add(finishTime)))
	// From here on a job must not have nothing running for stuckTime.
	checked := time.Now()
	stuck := c.stuckJobs(client, accepted, stuckTime+time.Second)
	for _, run := range c.ledger.Entries() {
		if run.Ended.IsZero() || run.Ended.After(checked) {
			r.note("task %s runs on %s while the jobs are checked", run.Task, run.Minion)
			stuck = nil
		}
	}
	r.runs(c.ledger)
	if len(accepted) == 0 {
		return failed
	}
	for _, id := range stuck {
		r.note("job %s was accepted, is neither done nor failed, and nothing of it runs, though all minions are idle", id)
	}
	if len(stuck) > 0 {
		return broken
	}
	return held
}

// stuckJobs returns the accepted jobs that stay open for a time and of which nothing runs in
// it.
func (c *cluster) stuckJobs(client *clients, accepted []string, length time.Duration) []string {
	began := time.Now()
	open := make(map[string]bool)
	for i, id := range accepted {
		if state, _ := client.state(id, i%len(c.zones)); state == "queued" || state == "running" {
			open[id] = true
		}
	}
	time.Sleep(time.Until(began.Add(length)))
	var stuck []string
	for i, id := range accepted {
		if !open[id] {
			continue
		}
		if state, _ := client.state(id, i%len(c.zones)); (state == "queued" || state == "running") && !c.ranSince(id, began) {
			stuck = append(stuck, id)
		}
	}
	return stuck
}

// ranSince reports whether a task of a job has been running at any time since then.
func (c *cluster) ranSince(id string, since time.Time) bool {
	for _, run := range c.ledger.Entries() {
		if len(run.Task) > len(id) && run.Task[:len(id)] == id && (run.Ended.IsZero() || run.Ended.After(since)) {
			return true
		}
	}
	return false
}
