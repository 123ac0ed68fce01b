package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// notice cancels a kept job at an entry that can't reach its owner, while one partition of
// the store is unavailable. The job waits for room at its owner.
func notice(binary string, record *record, trouble bool) ([]string, error) {
	const (
		cutLength    = 4 * time.Second
		outageLength = 4 * time.Second
		cancelBound  = 3 * time.Second
		contact      = 3 * time.Second
		// quietTime is how long the entries have run without a change when it begins.
		quietTime = 26 * time.Second
	)
	machines := smallDeployment()
	cpu := make(map[string]int)
	for _, one := range machines {
		cpu[one.name] = 32000
	}
	w, err := newWorld(binary, record, machines, route(4, 60*time.Second), cpu)
	if err != nil {
		return nil, err
	}
	defer w.stop()
	if !w.awaitReady(20 * time.Second) {
		return nil, errNotReady
	}
	time.Sleep(time.Second)
	job := func(count int, work time.Duration) map[string]any {
		return map[string]any{"spec": spec(work, 3100), "steps": []map[string]any{{
			"count": count, "cpu": 3100, "mem_mb": 64, "est_ms": work.Milliseconds(),
		}}}
	}
	number := 0
	submit := func(entry string, count int, work time.Duration) string {
		number++
		id := fmt.Sprintf("%08x%08x", rand.Uint32(), number)
		if status, _ := w.call(entry, "POST", id, job(count, work), 3*time.Second); status != 200 {
			return ""
		}
		return id
	}
	for _, entry := range []string{"edge-a", "edge-b", "edge-c"} {
		if submit(entry, 1, 100*time.Millisecond) == "" {
			return nil, fmt.Errorf("the first job at %s was not accepted", entry)
		}
	}
	time.Sleep(quietTime)
	// Eleven minions have room for ten such tasks each.
	for range 11 {
		submit("edge-a", 10, 9*time.Second)
	}
	cancelled := submit("edge-a", 2, time.Second)
	if cancelled == "" {
		return nil, fmt.Errorf("the job to cancel was not accepted")
	}
	down := ""
	for _, part := range []string{"p0", "p1", "p2", "p3"} {
		if part != w.partOf(cancelled) {
			down = part
		}
	}
	if trouble {
		record.write("edge-a is cut off from edge-b and edge-c for %s; partition %s of the store is unavailable for %s", cutLength, down, outageLength)
		w.net.cut(func(from, to string) bool { return from == "edge-a" && (to == "edge-b" || to == "edge-c") })
		w.setTableFault(func(_ string, r *http.Request, body []byte) fault {
			if partAsked(r, body) == down {
				return unavailable
			}
			return noFault
		})
	}
	began := time.Now()
	time.Sleep(300 * time.Millisecond)
	status, _ := w.call("edge-b", "DELETE", cancelled, nil, 3*time.Second)
	acked := time.Now()
	if status != 200 && status != 410 {
		return nil, fmt.Errorf("the cancelling was answered %d", status)
	}
	time.Sleep(cutLength - time.Since(began))
	w.net.cut(nil)
	w.setTableFault(nil)
	record.write("the cut and the outage are over")
	healed := time.Now()
	time.Sleep(14 * time.Second)
	w.recordRuns()
	var broken []string
	for _, one := range w.ledger.Entries() {
		if one.Task[:16] == cancelled && one.Started.Sub(acked) > cancelBound && one.Started.Sub(healed) > contact {
			broken = append(broken, fmt.Sprintf("UNASKED: %s run %d was started on %s at %.3f s, %.3f s after the cancelling was acknowledged and %.3f s after all disruptions were over",
				one.Task, one.Run, one.Minion, w.record.at(one.Started), one.Started.Sub(acked).Seconds(), one.Started.Sub(healed).Seconds()))
		}
	}
	return broken, nil
}
