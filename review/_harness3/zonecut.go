package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// zoneCut cuts a zone off from the other zones and from the store for 12 s, while tasks of
// kept jobs run there that an entry of that zone owns.
func zoneCut(binary string, record *record, trouble bool) ([]string, error) {
	const (
		cutLength = 12 * time.Second
		workTime  = 15 * time.Second
	)
	machines := smallDeployment()
	cpu := make(map[string]int)
	for _, one := range machines {
		cpu[one.name] = 32000
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
	body := map[string]any{"spec": spec(workTime, 3100), "steps": []map[string]any{{
		"count": 4, "cpu": 3100, "mem_mb": 64, "est_ms": 7000,
	}}}
	var accepted []string
	for i := range 10 {
		id := fmt.Sprintf("%08x%08x", rand.Uint32(), i)
		if status, _ := w.call("edge-a", "POST", id, body, 3*time.Second); status == 200 {
			accepted = append(accepted, id)
		}
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		record.write("zone-a is cut off from the other zones for %s", cutLength)
		w.net.cut(w.cutZone("zone-a"))
		time.Sleep(cutLength)
		w.net.cut(nil)
		record.write("the cut is over")
	}
	w.awaitEnds(accepted, "edge-b", 40*time.Second)
	time.Sleep(time.Second)
	w.recordRuns()
	return w.overlaps(), nil
}
