package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

func (r *record) at(moment time.Time) float64 { return moment.Sub(r.start).Seconds() }

func (r *record) write(format string, args ...any) { r.writeAt(time.Now(), format, args...) }

func (r *record) writeAt(moment time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", r.at(moment), fmt.Sprintf(format, args...))
}
