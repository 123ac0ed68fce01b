package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/figring/figring/platform/standin"
)

var errNotReady = errors.New("the entries did not become ready")

// oldEnd cuts the edge machine that owns kept jobs off from all other machines of the system
// for 6 s. Tasks that have ended done on a minion just after the cut run again on another
// one; where that run fails, the next order goes to the first minion's sidecar.
func oldEnd(binary string, record *record, trouble bool) ([]string, error) {
	const (
		cutLength = 6 * time.Second
		workTime  = 600 * time.Millisecond
		// failingTime is how long after the cut the runs that begin are ones that fail.
		failingTime = 400 * time.Millisecond
	)
	machines := smallDeployment()
	cpu := make(map[string]int)
	for _, one := range machines {
		cpu[one.name] = 32000
		if one.name == "side-a1" || one.name == "side-c1" {
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
	body := map[string]any{"spec": spec(workTime, 3000), "steps": []map[string]any{{
		"count": 1, "cpu": 3000, "mem_mb": 64, "est_ms": workTime.Milliseconds(), "required_label": "b",
	}}}
	var wait sync.WaitGroup
	var mu sync.Mutex
	var accepted []string
	for i := range 20 {
		id := fmt.Sprintf("%08x%08x", rand.Uint32(), i)
		wait.Go(func() {
			if status, _ := w.call("edge-b", "POST", id, body, 3*time.Second); status == 200 {
				mu.Lock()
				accepted = append(accepted, id)
				mu.Unlock()
			}
		})
		time.Sleep(70 * time.Millisecond)
	}
	wait.Wait()
	if trouble {
		record.write("edge-b is cut off from all other machines of the system for %s", cutLength)
		w.net.cut(func(from, to string) bool { return from == "edge-b" && to != "edge-b" && to != "store" })
	}
	time.Sleep(cutLength / 2)
	// The next run of each task fails by its own fault, the later ones don't.
	w.failRuns(1)
	time.Sleep(cutLength / 2)
	if trouble {
		w.net.cut(nil)
		record.write("the cut is over")
	}
	time.Sleep(failingTime)
	w.failRuns(0)
	w.awaitEnds(accepted, "edge-b", 30*time.Second)
	time.Sleep(3 * time.Second)
	w.recordRuns()
	return w.startsAfterDone(), nil
}

// failRuns makes a share of the runs that begin from now on fail.
func (w *world) failRuns(share float64) {
	for _, minion := range w.minions {
		minion.SetFaults(standin.Faults{Fail: share})
	}
}

// awaitEnds waits until all jobs have ended.
func (w *world) awaitEnds(ids []string, entry string, limit time.Duration) {
	deadline := time.Now().Add(limit)
	for _, id := range ids {
		for time.Now().Before(deadline) {
			status, state := w.call(entry, "GET", id, nil, 2*time.Second)
			if status == 200 && (state == "completed" || state == "failed" || state == "cancelled") {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}
