package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	crashRounds = 7
	// The store is down for outage in each round; lostSidecars of the sidecars are killed
	// meanwhile and back after sidecarPause.
	outage       = 4500 * time.Millisecond
	lostSidecars = 2
	sidecarPause = 3500 * time.Millisecond
	jobsPerEntry = 22
	// ownRestart is the pause before a process that has ended by itself starts again.
	ownRestart = time.Second
	// faultMachines and faultEnds are the figures of the rule for 14 machines.
	faultMachines = 2
	faultEnds     = 3
)

// runOwnCrash cancels jobs while the store is down and two sidecars are lost. It checks
// Fault: processes that end by themselves.
func runOwnCrash(c *cluster, trouble bool) ([]string, error) {
	var mu sync.Mutex
	ends := make(map[string]int)
	c.onEnded(func(name string) {
		mu.Lock()
		ends[name]++
		mu.Unlock()
		time.Sleep(ownRestart)
		c.record.say("%s starts", name)
		if err := c.start(name); err != nil {
			c.record.say("%s can't start: %v", name, err)
		}
	})
	caller := newClient(c)
	for round := range crashRounds {
		if err := cancelInOutage(c, caller, round, trouble); err != nil {
			return nil, err
		}
		time.Sleep(5 * time.Second)
	}
	mu.Lock()
	defer mu.Unlock()
	var broken []string
	for name, count := range ends {
		if count >= faultEnds {
			broken = append(broken, fmt.Sprintf("Fault: %s has ended by itself %d times", name, count))
		}
	}
	c.record.say("processes that ended by themselves: %v", ends)
	if len(broken) < faultMachines {
		return nil, nil
	}
	return broken, nil
}

// cancelInOutage submits jobs at two entries and cancels them all while the store is down.
func cancelInOutage(c *cluster, caller *client, round int, trouble bool) error {
	sent := newJobs()
	for range jobsPerEntry {
		for entry := range 2 {
			sent.submit(caller, entry, giftEnrols, jobBody{Spec: specOf(taskPlan{Millis: []int{10000}}), Steps: []step{{Count: 1, MilliCPU: 3100, MemMB: 64, Estimate: 10000}}})
		}
	}
	sent.sayTotals(c.record)
	if len(sent.list()) < jobsPerEntry {
		return fmt.Errorf("only %d jobs were accepted", len(sent.list()))
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		c.record.say("the store answers 503 for %s", outage)
		c.store.setDown(true)
		time.AfterFunc(outage, func() {
			c.store.setDown(false)
			c.record.say("the store answers again")
		})
		time.AfterFunc(1500*time.Millisecond, func() {
			for i := range lostSidecars {
				c.kill(sidecarName((lostSidecars*round+i)%sidecarCount), sidecarPause)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	var wait sync.WaitGroup
	for _, job := range sent.list() {
		wait.Go(func() { cancelUntilAcked(c, caller, job) })
	}
	wait.Wait()
	c.record.say("all cancellings are acknowledged")
	return nil
}

// cancelUntilAcked cancels a job at its entry and, without an acknowledgement, at the
// third entry.
func cancelUntilAcked(c *cluster, caller *client, job *sentJob) {
	entry := job.entry
	for range 60 {
		status, _ := caller.call(entry, http.MethodDelete, job.path(), nil)
		if status/100 == 2 || status == http.StatusGone {
			return
		}
		entry = entryCount - 1
		time.Sleep(200 * time.Millisecond)
	}
	c.record.say("the cancelling of job %s was not acknowledged", job.id)
}
