package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	burstJobs = 300
	// replacePause is the time from the loss of a machine until another comes.
	replacePause = 2 * time.Second
	// secondLossAfter is the time from the first write of a takeover to the second loss.
	secondLossAfter = 300 * time.Millisecond
)

// runTwoLosses takes one entry away for good and, while another takes over its jobs, that
// one too. It checks the part of TWICE about ends that were taken note of.
func runTwoLosses(c *cluster, trouble bool) ([]string, error) {
	sent, caller := newJobs(), newClient(c)
	var wait sync.WaitGroup
	for entry := 1; entry < entryCount; entry++ {
		if sent.submit(caller, entry, addrConfirms, shortJob()) == nil {
			return nil, fmt.Errorf("a job was not accepted")
		}
	}
	for number := range burstJobs {
		wait.Go(func() {
			// The work of the jobs differs, with a mean of 900 ms.
			sent.submit(caller, 0, giftEnrols, jobBody{
				Spec:  specOf(taskPlan{Millis: []int{450 + number%10*100}}),
				Steps: []step{{Count: 2, MilliCPU: 3100, MemMB: 64, Estimate: 900}},
			})
		})
	}
	wait.Wait()
	sent.sayTotals(c.record)
	time.Sleep(time.Second)
	if trouble {
		c.replace(entryName(0), entryName(entryCount), replacePause)
		loseSuccessor(c, sent.list())
	}
	time.Sleep(40 * time.Second)
	counts := make(map[string]int)
	for _, job := range sent.list() {
		status, state := caller.state(2, job.path())
		if status == 0 {
			status, state = caller.state(1, job.path())
		}
		counts[fmt.Sprintf("%d %s", status, state)]++
	}
	c.record.say("accepted jobs by their state now: %v", counts)
	return repeated(c), nil
}

func shortJob() jobBody {
	return jobBody{Spec: specOf(taskPlan{Millis: []int{200}}), Steps: []step{{Count: 2, MilliCPU: 3100, MemMB: 64, Estimate: 200}}}
}

// loseSuccessor takes the first entry away that takes over one of the jobs, soon after it
// has begun to.
func loseSuccessor(c *cluster, accepted []*sentJob) {
	known := make(map[string]bool)
	for _, job := range accepted {
		known["open/"+job.id] = job.entry == 0
	}
	var once sync.Once
	c.store.onWritten(func(process string, applied transaction) {
		if process == entryName(0) || !strings.HasPrefix(process, "edge-") || len(applied.Writes) == 0 || !known[applied.Writes[0].Key] {
			return
		}
		once.Do(func() {
			c.record.say("%s takes over jobs of %s", process, entryName(0))
			time.AfterFunc(secondLossAfter, func() { c.replace(process, entryName(entryCount+1), replacePause) })
		})
	})
}

// repeated returns the starts after a run that had ended done, whose end was taken note of.
func repeated(c *cluster) []string {
	var broken []string
	done := make(map[string]ledgerRun)
	for _, run := range c.ledger.snapshot() {
		if earlier, ok := done[run.task]; ok && run.started.After(earlier.ended) {
			broken = append(broken, fmt.Sprintf("TWICE: task %s starts on %s at %.3f s, after its run on %s from %.3f to %.3f has ended done and this end was acknowledged",
				run.task, run.minion, c.record.seconds(run.started), earlier.minion, c.record.seconds(earlier.started), c.record.seconds(earlier.ended)))
		}
		if run.how == "done" && run.acknowledged {
			done[run.task] = run
		}
	}
	return broken
}
