package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/figring/figring/settings"
)

// jobsPerEntry is the usual number of jobs per second at one entry.
const jobsPerEntry = 47

// BenchmarkLogs measures the CPU time of the entry processes per job, with all
// log lines and with those on failures only, at twice the load of an entry of the
// nomination desk. Run it with -benchtime 1x.
func BenchmarkLogs(b *testing.B) {
	binary := build(b)
	for number, lines := range []string{settings.LogFailures, settings.LogAll} {
		b.Run(lines, func(b *testing.B) {
			w := newClusterWith(b, binary, 80+number, map[string]any{"log": lines})
			told := newCallers(w)
			told.every, told.need = time.Second/(2*jobsPerEntry*entries), 300
			awaitService(b, told, "at the start")
			before := w.entryTime()
			asked := told.asked
			stop := make(chan struct{})
			time.AfterFunc(10*time.Second, func() { close(stop) })
			told.run(rand.New(rand.NewPCG(1, 1)), stop)
			jobs := float64(told.asked - asked)
			b.ReportMetric(float64((w.entryTime()-before).Microseconds())/jobs, "us/job")
			b.ReportMetric(float64(w.logLines(entryName(0))+w.logLines(entryName(1)))/jobs, "lines/job")
		})
	}
}

// entryTime returns the total CPU time of the entry processes so far.
func (w *cluster) entryTime() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	sum := time.Duration(0)
	for i := range entries {
		sum += processTime(w.processes[entryName(i)].Process.Pid)
	}
	return sum
}

// processTime returns the sum of a process's user and system time, 0 when it
// can't be read.
func processTime(pid int) time.Duration {
	const tick = 10 * time.Millisecond
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := bytes.Fields(raw[bytes.LastIndexByte(raw, ')')+1:])
	var user, system int64
	_, _ = fmt.Sscan(string(fields[11])+" "+string(fields[12]), &user, &system)
	return time.Duration(user+system) * tick
}

func (w *cluster) logLines(name string) int {
	// A log that can't be read counts as empty.
	raw, _ := os.ReadFile(filepath.Join(w.dir, name+".log"))
	return bytes.Count(raw, []byte("\n"))
}
