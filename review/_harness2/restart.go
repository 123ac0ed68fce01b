package main

import (
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/figring/figring/platform/standin"
)

func init() { cases["restart"] = playRestart }

const (
	// entryCutTime is how long the entry is cut off from all other machines.
	entryCutTime = 5500 * time.Millisecond
	// rollStart is the time from the beginning of the cut to the first stop of a sidecar,
	// rollGap that between two stops, and rolled is how many are stopped.
	rollStart = 1800 * time.Millisecond
	rollGap   = time.Second
	rolled    = 6
	// handedIn is the number of jobs.
	handedIn = 100
)

// playRestart hands in kept jobs at an entry. With trouble, the entry is cut off from all
// other machines of the system, and sidecars are stopped in turn meanwhile.
func playRestart(r *record, trouble bool) int {
	c, err := newCluster(r, zoneNames, fleet(-1))
	if err != nil {
		r.note("%v", err)
		return failed
	}
	defer c.end()
	c.links.identify = true
	c.restartDelay = 100 * time.Millisecond
	watches := make(map[string]*watch)
	c.wrapMinion = func(place int, next http.Handler) http.Handler {
		made := newWatch()
		watches[minionName(place)] = made
		return made.wrap(next, time.Now())
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
	accepted := 0
	for i := range handedIn {
		if client.submit(jobID(i), 1, jobBody(standin.Spec{WorkMillis: 200, MilliCPU: 3100}, step{Count: 8, CPU: 3100, MemMB: 64, Estimate: 200})) {
			accepted++
		}
		time.Sleep(10 * time.Millisecond)
	}
	if accepted == 0 {
		return failed
	}
	if trouble {
		cut := time.Now()
		alone := entryName(1)
		c.links.set(func(from, to string) bool {
			return (from == alone) != (to == alone) && from != "table" && to != "table"
		})
		r.note("%s is cut off from all other machines of the system, for %v", alone, entryCutTime)
		time.AfterFunc(entryCutTime, func() {
			c.links.heal()
			r.note("the cut is healed")
		})
		for i := range rolled {
			time.Sleep(time.Until(cut.Add(rollStart + time.Duration(i)*rollGap)))
			c.signal(sideName(i), syscall.SIGTERM)
		}
	}
	time.Sleep(16 * time.Second)
	for i := range handedIn {
		client.state(jobID(i), 0)
	}
	r.runs(c.ledger)
	return c.judgeTwice(watches)
}

// judgeTwice checks the rule TWICE: no two runs of a task at the same time, and no start
// after a run has ended done whose end is taken note of then or later, unless the lease
// lapsed between the two.
func (c *cluster) judgeTwice(watches map[string]*watch) int {
	result := held
	for _, task := range c.ledger.Overlaps() {
		c.record.note("two runs of task %s at the same time", task)
		result = broken
	}
	runs := make(map[string][]standin.Entry)
	for _, run := range c.ledger.Entries() {
		runs[run.Task] = append(runs[run.Task], run)
	}
	for task, all := range runs {
		for _, first := range all {
			noted, counts := watches[first.Minion].notedAt(task, first.Run, first.Ended)
			if first.Outcome != "done" || !counts {
				continue
			}
			for _, second := range all {
				if !second.Started.After(first.Ended) {
					continue
				}
				c.record.note("task %s ended done on %s, was started again on %s %.3f s later, and the first end was taken note of %.3f s after it, the lease having held all the while",
					strings.TrimSpace(task), first.Minion, second.Minion, second.Started.Sub(first.Ended).Seconds(), noted.Sub(first.Ended).Seconds())
				result = broken
			}
		}
	}
	return result
}
