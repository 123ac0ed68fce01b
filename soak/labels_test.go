package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/figring/figring/platform/standin"
)

// awaitEachMinion waits until each minion has done a best-effort job of two tasks that no other
// one may run. The faults may have left the minion suspect.
func awaitEachMinion(t *testing.T, told *callers) {
	spec, _ := json.Marshal(standin.Spec{WorkMillis: 10, MilliCPU: 800})
	for i := range sidecars {
		body, _ := json.Marshal(map[string]any{"spec": string(spec), "best_effort": true, "steps": []map[string]any{
			{"count": 2, "cpu": 800, "mem_mb": 8, "est_ms": 10, "required_label": minionLabel(i)},
		}})
		status, state, until := 0, "", time.Now().Add(calmAfter+callerTimeout)
		for attempt := 0; state != "completed" && time.Now().Before(until); attempt++ {
			status, state = told.call(http.MethodPost, fmt.Sprintf("%016x", time.Now().UnixNano()), attempt%entries, body)
			time.Sleep(50 * time.Millisecond)
		}
		if state != "completed" {
			t.Errorf("minion %d serves no job of two tasks that only it may run; the last answer had status %d", i, status)
		}
	}
}
