package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"github.com/figring/figring/platform/standin"
)

// twoEnds kills the edge machine that owns kept jobs while the store is unavailable. Some
// tasks have failed and then ended done on the same minion meanwhile.
func twoEnds(binary string, record *record, trouble bool) ([]string, error) {
	const (
		outageLength = 4 * time.Second
		// killAfter is when edge-a is killed, counted from the beginning of the outage.
		killAfter = 2000 * time.Millisecond
		workTime  = 250 * time.Millisecond
	)
	machines := smallDeployment()
	cpu := make(map[string]int)
	for _, one := range machines {
		cpu[one.name] = 32000
		if one.name == "side-b1" {
			one.labels[0] = "b"
		}
	}
	w, err := newWorld(binary, record, machines, route(4, 10*time.Second), cpu)
	if err != nil {
		return nil, err
	}
	defer w.stop()
	if !w.awaitReady(20 * time.Second) {
		return nil, errNotReady
	}
	time.Sleep(3 * time.Second)
	task, _ := json.Marshal(standin.Spec{WorkMillis: int(workTime.Milliseconds()), MilliCPU: 900, FailShare: 0.2})
	step := func(after ...int) map[string]any {
		return map[string]any{"count": 32, "cpu": 900, "mem_mb": 64, "est_ms": workTime.Milliseconds(), "required_label": "b", "after": after}
	}
	body := map[string]any{"spec": string(task), "steps": []map[string]any{step(), step(0)}}
	id := fmt.Sprintf("%08x%08x", rand.Uint32(), 1)
	if status, _ := w.call("edge-a", "POST", id, body, 3*time.Second); status != http.StatusOK {
		return nil, fmt.Errorf("the job was answered %d", status)
	}
	time.Sleep(100 * time.Millisecond)
	if trouble {
		record.write("the store is unavailable for %s", outageLength)
		w.setTableFault(func(string, *http.Request, []byte) fault { return unavailable })
		time.Sleep(killAfter)
		w.signal("edge-a", syscall.SIGKILL)
		time.Sleep(outageLength - killAfter)
		w.setTableFault(nil)
		record.write("the store is back")
	}
	w.awaitEnds([]string{id}, "edge-b", 40*time.Second)
	time.Sleep(2 * time.Second)
	w.recordRuns()
	return w.startsAfterDone(), nil
}
