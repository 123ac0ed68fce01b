package main

import (
	"fmt"
	"os"
	"sort"
	"sync"
	"time"

	"github.com/figring/figring/platform/standin"
)

// record is what was sent, answered and run, in the order of time.
type record struct {
	mu    sync.Mutex
	start time.Time
	lines []line
}

type line struct {
	at   time.Time
	text string
}

func newRecord() *record { return &record{start: time.Now()} }

func (r *record) note(format string, args ...any) { r.noteAt(time.Now(), format, args...) }

func (r *record) noteAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line{at, fmt.Sprintf(format, args...)})
}

// runs adds the runs that the minions have recorded.
func (r *record) runs(ledger *standin.Ledger) {
	for _, one := range ledger.Entries() {
		r.run(one)
	}
}

// run adds a run.
func (r *record) run(one standin.Entry) {
	r.noteAt(one.Started, "RUN    %s on %s: run %d begins", one.Task, one.Minion, one.Run)
	if !one.Ended.IsZero() {
		r.noteAt(one.Ended, "RUN    %s on %s: run %d ends %q", one.Task, one.Minion, one.Run, one.Outcome)
	}
}

func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	sort.SliceStable(r.lines, func(a, b int) bool { return r.lines[a].at.Before(r.lines[b].at) })
	out, err := os.Create(path)
	if err != nil {
		return err
	}
	defer out.Close()
	for _, one := range r.lines {
		if _, err := fmt.Fprintf(out, "%8.3f %s\n", one.at.Sub(r.start).Seconds(), one.text); err != nil {
			return err
		}
	}
	return nil
}
