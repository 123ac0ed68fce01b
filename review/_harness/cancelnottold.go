package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// slowFactor and slowTime are the disruption: the store's answers take longer.
	slowFactor = 92
	slowTime   = 5300 * time.Millisecond
	// cancelBound is cancel_ms, contactTime contact_ms of the deployments.
	cancelBound = 3 * time.Second
	contactTime = 3 * time.Second
	cancelled   = 24
)

// runCancelNotTold cancels jobs at entries that don't own them while the store is slow. It
// checks the part of UNASKED about cancelled jobs: no task starts later than cancel_ms
// after the cancelling was acknowledged.
func runCancelNotTold(c *cluster, trouble bool) ([]string, error) {
	sent, caller := newJobs(), newClient(c)
	end := traffic{caller, newJobs(), 25 * time.Millisecond, []int{0, 1, 2}, func(int) (string, jobBody) {
		return addrConfirms, jobBody{Spec: specOf(taskPlan{Millis: []int{200}}), Steps: []step{{Count: 2, MilliCPU: 1000, MemMB: 64, Estimate: 200}}}
	}}.start()
	time.Sleep(2 * time.Second)
	var owned []*sentJob
	for range cancelled {
		job := sent.submit(caller, 0, giftEnrols, jobBody{Spec: specOf(taskPlan{Millis: []int{12000, 200}}), Steps: []step{
			{Count: 1, MilliCPU: 1000, MemMB: 64, Estimate: 12000},
			{Count: 4, MilliCPU: 1000, MemMB: 64, Estimate: 200, After: []int{0}},
		}})
		if job == nil {
			return nil, fmt.Errorf("a job was not accepted before the disruption")
		}
		owned = append(owned, job)
	}
	if trouble {
		c.record.say("the store's answers take %d times as long", slowFactor)
		c.store.setSlow(slowFactor)
	}
	slowUntil := time.Now().Add(slowTime)
	time.AfterFunc(slowTime, func() {
		c.store.setSlow(1)
		c.record.say("the store answers as usual")
	})
	time.Sleep(300 * time.Millisecond)
	acked := cancelAll(c, caller, owned)
	time.Sleep(time.Until(owned[0].acceptedAt.Add(22 * time.Second)))
	end()
	runs := c.ledger.byJob()
	var broken []string
	for _, job := range owned {
		at, ok := acked[job]
		if !ok {
			c.record.say("job %s: its cancelling was not acknowledged", job.id)
			continue
		}
		for _, run := range runs[job.id] {
			if run.started.After(at.Add(cancelBound)) && run.started.After(slowUntil.Add(contactTime)) {
				broken = append(broken, fmt.Sprintf("UNASKED: task %s starts at %.3f s, %.1f s after the cancelling of its job was acknowledged, and %.1f s after the store was slow",
					run.task, c.record.seconds(run.started), run.started.Sub(at).Seconds(), run.started.Sub(slowUntil).Seconds()))
			}
		}
	}
	return broken, nil
}

// cancelAll cancels the jobs one after the other. Each cancelling is sent to entry 1 and,
// after no answer, to entries 2 and 1 in turn until one acknowledges it. It returns when
// that was.
func cancelAll(c *cluster, caller *client, owned []*sentJob) map[*sentJob]time.Time {
	var mu sync.Mutex
	var wait sync.WaitGroup
	acked := make(map[*sentJob]time.Time)
	for number, job := range owned {
		wait.Go(func() {
			time.Sleep(time.Duration(number) * 100 * time.Millisecond)
			for try := range 6 {
				entry := 1 + try%2
				sentAt := time.Now()
				status, _ := caller.call(entry, http.MethodDelete, job.path(), nil)
				c.record.say("DELETE of job %s at %s, sent at %.3f s: answer %d", job.id, entryName(entry), c.record.seconds(sentAt), status)
				if status/100 == 2 || status == http.StatusGone {
					mu.Lock()
					acked[job] = time.Now()
					mu.Unlock()
					return
				}
			}
		})
	}
	wait.Wait()
	return acked
}
