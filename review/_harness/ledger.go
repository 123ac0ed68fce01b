package main

import (
	"sync"
	"time"
)

// jobDigits is the length of a job's ID.
const jobDigits = 16

// ledgerRun is one run of a task as its minion has seen it.
type ledgerRun struct {
	task, minion   string
	number         int
	started, ended time.Time
	how            string
	// acknowledged is set once acked_upto has reached the end, unless the lease lapsed
	// between the two.
	acknowledged, lapsed bool
}

func (r *ledgerRun) job() string { return r.task[:jobDigits] }

// ledger has all runs on all minions.
type ledger struct {
	mu   sync.Mutex
	runs []*ledgerRun
	// begun is the number of runs of each task.
	begun map[string]int
}

func newLedger() *ledger { return &ledger{begun: make(map[string]int)} }

// start adds a run. It returns it and the number of earlier runs of the task.
func (l *ledger) start(task, minion string, number int) (*ledgerRun, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run := &ledgerRun{task: task, minion: minion, number: number, started: time.Now()}
	l.runs = append(l.runs, run)
	before := l.begun[task]
	l.begun[task]++
	return run, before
}

func (l *ledger) end(run *ledgerRun, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run.ended, run.how = time.Now(), how
}

func (l *ledger) lapse(run *ledgerRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run.lapsed = run.lapsed || !run.acknowledged
}

func (l *ledger) acknowledge(run *ledgerRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run.acknowledged = !run.lapsed
}

// snapshot returns copies of all runs in the order of their starts.
func (l *ledger) snapshot() []ledgerRun {
	l.mu.Lock()
	defer l.mu.Unlock()
	copied := make([]ledgerRun, len(l.runs))
	for i, run := range l.runs {
		copied[i] = *run
	}
	return copied
}

// byJob returns copies of all runs by their jobs.
func (l *ledger) byJob() map[string][]ledgerRun {
	found := make(map[string][]ledgerRun)
	for _, run := range l.snapshot() {
		found[run.job()] = append(found[run.job()], run)
	}
	return found
}

// atWork returns the number of runs at work.
func (l *ledger) atWork() int {
	count := 0
	for _, run := range l.snapshot() {
		if run.ended.IsZero() {
			count++
		}
	}
	return count
}
