package main

import (
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/figring/figring/platform/standin"
)

func init() { cases["takeover"] = playTakeover }

const (
	// chains is the number of kept jobs before a stop, each of three steps that take two seconds.
	chains = 12
	// chainTasks is the number of tasks of each.
	chainTasks = 6
	workerCPU  = 32000
	taskCPU    = 3100
	// stops is how often all entries are stopped, stopInterval the time between two stops, and
	// settleTime the time for which the jobs are watched after the last interval.
	stops        = 2
	stopInterval = 28 * time.Second
	settleTime   = 8 * time.Second
)

// playTakeover hands in kept jobs at all entries. With trouble, the machine of a worker that
// the jobs don't need has been taken away for good before, and all entries are stopped with
// SIGTERM, and started again, while the jobs run; and once more.
func playTakeover(r *record, trouble bool) int {
	c, err := newCluster(r, zoneNames, fleet(4))
	if err != nil {
		r.note("%v", err)
		return failed
	}
	defer c.end()
	c.wrapTable = slowTable
	c.restartDelay = time.Second
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
	// Each entry has had a kept job.
	for i := range c.zones {
		client.submit(jobID(i), i, jobBody(standin.Spec{WorkMillis: 50, MilliCPU: 1000}, step{Count: 1, CPU: 1000, MemMB: 16, Estimate: 50}))
	}
	const gone = 10
	if trouble {
		c.remove(gone)
	}
	time.Sleep(2 * time.Second)
	var accepted []string
	var handedIn time.Time
	for round := range stops {
		for i := range chains {
			one := step{Count: 2, CPU: taskCPU, MemMB: 64, Estimate: 2000, Label: "b"}
			second, third := one, one
			second.After, third.After = []int{0}, []int{1}
			id := jobID(100*(round+1) + i)
			if client.submit(id, i%len(c.zones), jobBody(standin.Spec{WorkMillis: 2000, MilliCPU: taskCPU}, one, second, third)) {
				accepted = append(accepted, id)
			}
		}
		handedIn = time.Now()
		time.Sleep(time.Second)
		if trouble {
			for i := range c.zones {
				c.signal(entryName(i), syscall.SIGTERM)
			}
		}
		time.Sleep(stopInterval)
	}
	if len(accepted) == 0 {
		return failed
	}
	time.Sleep(settleTime)
	for i, id := range accepted {
		client.state(id, i%len(c.zones))
	}
	idle := c.idleJobs(accepted, handedIn.Add(graceSeconds*time.Second+finishTime))
	r.runs(c.ledger)
	for _, one := range idle {
		r.note("job %s was accepted and nothing of it ran from %.1f to %.1f s, though it never ended and its worker had room for it twice over all the while",
			one.id, one.from.Sub(r.start).Seconds(), one.to.Sub(r.start).Seconds())
	}
	if len(idle) > 0 {
		return broken
	}
	return held
}

// idleJob is a job of which nothing ran for stuckTime or longer.
type idleJob struct {
	id       string
	from, to time.Time
}

// idleJobs returns the jobs that have not ended yet and of which nothing ran for stuckTime
// after a time, while their worker had room for twice a task.
func (c *cluster) idleJobs(ids []string, after time.Time) []idleJob {
	var found []idleJob
	now := time.Now()
	for _, id := range ids {
		done := make(map[string]bool)
		type span struct{ from, to time.Time }
		spans := []span{{now, now}}
		for _, run := range c.ledger.Entries() {
			if !strings.HasPrefix(run.Task, id) {
				continue
			}
			ended := run.Ended
			if ended.IsZero() {
				ended = now
			}
			spans = append(spans, span{run.Started, ended})
			if run.Outcome == "done" {
				done[run.Task] = true
			}
		}
		if len(done) == chainTasks {
			continue
		}
		slices.SortFunc(spans, func(a, b span) int { return a.from.Compare(b.from) })
		covered := after
		for _, one := range spans {
			if from, to, idle := c.idleSpan(covered, one.from); idle {
				found = append(found, idleJob{id, from, to})
				break
			}
			if one.to.After(covered) {
				covered = one.to
			}
		}
	}
	return found
}

// idleSpan returns the first span of a little more than stuckTime in a time in which the
// worker had room for twice a task all the while.
func (c *cluster) idleSpan(from, to time.Time) (time.Time, time.Time, bool) {
	const length, step = stuckTime + 100*time.Millisecond, 100 * time.Millisecond
	for ; !from.Add(length).After(to); from = from.Add(step) {
		if c.peakUse(from, from.Add(length)) <= workerCPU-2*taskCPU {
			return from, from.Add(length), true
		}
	}
	return from, to, false
}

// peakUse returns an upper bound of the processor use of all workers together in a time.
func (c *cluster) peakUse(from, to time.Time) int64 {
	var use int64
	for _, run := range c.ledger.Entries() {
		if run.Started.Before(to) && (run.Ended.IsZero() || run.Ended.After(from)) {
			use += run.MilliCPU
		}
	}
	return use
}
