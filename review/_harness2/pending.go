package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/figring/figring/platform/standin"
)

func init() { cases["pending"] = playPending }

const (
	// slowFactor and slowTime are the dose of the slow worker.
	slowFactor = 6.5
	slowTime   = 7 * time.Second
	// waitingJobs is the number of jobs that wait for the slow worker.
	waitingJobs = 5
	// visibleTime is visible_ms + 2 s of the pages.
	visibleTime = 5 * time.Second
)

// slowWorker makes all that starts on a worker take slowFactor times as long while slow is
// set.
func slowWorker(slow *atomic.Bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !slow.Load() || !strings.HasSuffix(r.URL.Path, "run-start") {
			next.ServeHTTP(w, r)
			return
		}
		raw, _ := io.ReadAll(r.Body)
		var order map[string]any
		var spec standin.Spec
		decoder := json.NewDecoder(bytes.NewReader(raw))
		decoder.UseNumber()
		if decoder.Decode(&order) == nil {
			text, _ := order["spec"].(string)
			if json.Unmarshal([]byte(text), &spec) == nil {
				spec.WorkMillis = int(slowFactor * float64(spec.WorkMillis))
				text, _ := json.Marshal(spec)
				order["spec"] = string(text)
				raw, _ = json.Marshal(order)
			}
		}
		r.Body = io.NopCloser(bytes.NewReader(raw))
		next.ServeHTTP(w, r)
	})
}

// playPending hands in a kept job that fills the only worker of its kind, and then some
// small ones that wait for it. With trouble, the worker is slow.
func playPending(r *record, trouble bool) int {
	const odd = 4
	c, err := newCluster(r, zoneNames, fleet(odd))
	if err != nil {
		r.note("%v", err)
		return failed
	}
	defer c.end()
	var slow atomic.Bool
	c.wrapMinion = func(place int, next http.Handler) http.Handler {
		if place != odd {
			return next
		}
		return slowWorker(&slow, next)
	}
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
	if trouble {
		slow.Store(true)
		r.note("worker i-%d is slow, %v times, for %v", odd, slowFactor, slowTime)
		time.AfterFunc(slowTime, func() {
			slow.Store(false)
			r.note("worker i-%d is as fast as before", odd)
		})
	}
	large := jobID(1)
	if !client.submit(large, 0, jobBody(standin.Spec{WorkMillis: 2000, MilliCPU: 3200}, step{Count: 10, CPU: 3200, MemMB: 64, Estimate: 2000, Label: "b"})) {
		return failed
	}
	time.Sleep(100 * time.Millisecond)
	accepted := make(map[string]time.Time)
	for i := range waitingJobs {
		id := jobID(10 + i)
		if client.submit(id, i%len(c.zones), jobBody(standin.Spec{WorkMillis: 200, MilliCPU: 500}, step{Count: 1, CPU: 500, MemMB: 64, Estimate: 200, Label: "b"})) {
			accepted[id] = time.Now()
		}
	}
	if len(accepted) == 0 {
		return failed
	}
	result := held
	time.Sleep(visibleTime + 500*time.Millisecond)
	for range 3 {
		for entry := range c.zones {
			asked := time.Now()
			status, raw := client.call(http.MethodGet, "", entry, nil)
			answered := time.Now()
			var count struct {
				Pending int `json:"pending"`
			}
			if status != http.StatusOK || json.Unmarshal([]byte(raw), &count) != nil {
				continue
			}
			waiting := 0
			for id, at := range accepted {
				if asked.Sub(at) > visibleTime && !c.began(id, answered) {
					waiting++
				}
			}
			if 2*count.Pending < waiting {
				r.note("%s gives %d jobs as pending; %d have been accepted for longer than %v and have not begun", entryName(entry), count.Pending, waiting, visibleTime)
				result = broken
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(8 * time.Second)
	for id := range accepted {
		client.state(id, 0)
	}
	r.runs(c.ledger)
	return result
}

// began reports whether a task of the job had begun by then.
func (c *cluster) began(id string, by time.Time) bool {
	for _, run := range c.ledger.Entries() {
		if strings.HasPrefix(run.Task, fmt.Sprintf("%s.", id)) && !run.Started.After(by) {
			return true
		}
	}
	return false
}
