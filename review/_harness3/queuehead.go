package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// queueHead hands in a burst of large kept jobs that only three of the eleven minions may run,
// and then a small one that any minion may run.
func queueHead(binary string, record *record, trouble bool) ([]string, error) {
	const (
		burst = 24
		// finish is when jobs are asked for after the end of the traffic, and stall how long
		// one may then have nothing running.
		finish = 14 * time.Second
		stall  = 3 * time.Second
	)
	machines := smallDeployment()
	cpu := make(map[string]int)
	for i, one := range machines {
		cpu[one.name] = 32000
		if !one.entry && i%3 == 2 {
			one.labels[0] = "b"
		}
	}
	w, err := newWorld(binary, record, machines, route(4, 5*time.Second), cpu)
	if err != nil {
		return nil, err
	}
	defer w.stop()
	if !w.awaitReady(20 * time.Second) {
		return nil, errNotReady
	}
	time.Sleep(3 * time.Second)
	job := func(count int, work time.Duration, label string) map[string]any {
		step := map[string]any{"count": count, "cpu": 3000, "mem_mb": 64, "est_ms": work.Milliseconds()}
		if label != "" {
			step["required_label"] = label
		}
		return map[string]any{"spec": spec(work, 3000), "steps": []map[string]any{step}}
	}
	if trouble {
		record.write("a burst of %d large jobs begins", burst)
		for i := range burst {
			w.call("edge-a", "POST", fmt.Sprintf("%08x%08x", rand.Uint32(), i), job(30, 1500*time.Millisecond, "b"), 3*time.Second)
		}
	}
	small := fmt.Sprintf("%08x%08x", rand.Uint32(), burst)
	if status, _ := w.call("edge-a", "POST", small, job(2, 200*time.Millisecond, ""), 3*time.Second); status != 200 {
		return nil, fmt.Errorf("the small job was answered %d", status)
	}
	record.write("the traffic ends")
	ended := time.Now()
	time.Sleep(finish + stall)
	_, state := w.call("edge-a", "GET", small, nil, 2*time.Second)
	asked := time.Now()
	record.write("the small job is %s", state)
	busiest := w.mostInUse(ended.Add(finish), asked)
	var broken []string
	if !w.hasRun(small) && busiest < 0.5 {
		broken = append(broken, fmt.Sprintf("LOST: job %s is %q %.1f s after the end of the traffic, nothing of it has run, and at most %.2f of the service's capacity was in use in the last %s",
			small, state, asked.Sub(ended).Seconds(), busiest, stall))
	}
	w.recordRuns()
	return broken, nil
}

func (w *world) hasRun(job string) bool {
	for _, one := range w.ledger.Entries() {
		if one.Task[:len(job)] == job {
			return true
		}
	}
	return false
}

// mostInUse returns the largest share of the capacity of all minions that was in use at any
// time between two moments.
func (w *world) mostInUse(from, to time.Time) float64 {
	most := 0.0
	for at := from; at.Before(to); at = at.Add(10 * time.Millisecond) {
		used := int64(0)
		for _, one := range w.ledger.Entries() {
			if !one.Started.After(at) && (one.Ended.IsZero() || one.Ended.After(at)) {
				used += one.MilliCPU
			}
		}
		most = max(most, float64(used)/float64(32000*len(w.minions)))
	}
	return most
}
