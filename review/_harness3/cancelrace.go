package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// cancelRace cuts a zone off for 2.5 s just before tasks end that an entry of that zone has
// ordered in other zones. Clients cancel the jobs meanwhile at an entry of another zone.
func cancelRace(binary string, record *record, trouble bool) ([]string, error) {
	const (
		cutLength = 2500 * time.Millisecond
		workTime  = 700 * time.Millisecond
		jobs      = 8
		spacing   = 25 * time.Millisecond
		// cutBeforeEnd is how long before the first task ends the cut begins.
		cutBeforeEnd = 20 * time.Millisecond
		// cancelAfter is when the jobs are cancelled, counted from the beginning of the cut.
		cancelAfter = 350 * time.Millisecond
	)
	machines := smallDeployment()
	cpu := make(map[string]int)
	for _, one := range machines {
		cpu[one.name] = 32000
		if one.name == "side-b1" || one.name == "side-c1" {
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
	step := map[string]any{"count": 2, "cpu": 1000, "mem_mb": 64, "est_ms": workTime.Milliseconds(), "required_label": "b"}
	next := map[string]any{"count": 2, "cpu": 1000, "mem_mb": 64, "est_ms": workTime.Milliseconds(), "required_label": "b", "after": []int{0}}
	body := map[string]any{"spec": spec(workTime, 1000), "steps": []map[string]any{step, next}}
	// The first kept job makes edge-a write its owner row, which takes longer.
	w.call("edge-a", "POST", fmt.Sprintf("%08x%08x", rand.Uint32(), jobs), body, 3*time.Second)
	time.Sleep(2 * time.Second)
	began := time.Now()
	var ids []string
	var wait sync.WaitGroup
	for i := range jobs {
		id := fmt.Sprintf("%08x%08x", rand.Uint32(), i)
		ids = append(ids, id)
		wait.Go(func() { w.call("edge-a", "POST", id, body, 3*time.Second) })
		time.Sleep(spacing)
	}
	wait.Wait()
	time.Sleep(workTime - cutBeforeEnd - time.Since(began))
	if trouble {
		record.write("zone-a is cut off from the other zones for %s", cutLength)
		w.net.cut(w.cutZone("zone-a"))
	}
	cutAt := time.Now()
	time.Sleep(cancelAfter)
	for _, id := range ids {
		wait.Go(func() { w.call("edge-b", "DELETE", id, nil, 3*time.Second) })
	}
	wait.Wait()
	time.Sleep(cutLength - time.Since(cutAt))
	if trouble {
		w.net.cut(nil)
		record.write("the cut is over")
	}
	time.Sleep(5 * time.Second)
	w.recordRuns()
	return w.startsAfterDone(), nil
}
