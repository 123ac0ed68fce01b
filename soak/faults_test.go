package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/figring/figring/platform/standin"
)

// fault is one kind of fault. Its begin function injects it and returns the
// function that removes it, nil when there is nothing to remove.
type fault struct {
	name  string
	begin func(w *cluster, random *rand.Rand) func()
}

// anyProcess draws the name of a sidecar or entry process, each with the same
// probability.
func anyProcess(random *rand.Rand) string {
	number := random.IntN(sidecars + entries)
	if number < sidecars {
		return sidecarName(number)
	}
	return entryName(number - sidecars)
}

var faults = []fault{
	{"kill", func(w *cluster, random *rand.Rand) func() {
		w.signal(anyProcess(random), syscall.SIGKILL)
		return nil
	}},
	{"terminate", func(w *cluster, random *rand.Rand) func() {
		w.signal(anyProcess(random), syscall.SIGTERM)
		return nil
	}},
	{"all entries killed", func(w *cluster, _ *rand.Rand) func() {
		w.signalEntries(syscall.SIGKILL)
		return nil
	}},
	{"all entries terminated", func(w *cluster, _ *rand.Rand) func() {
		w.signalEntries(syscall.SIGTERM)
		return nil
	}},
	{"pause", func(w *cluster, random *rand.Rand) func() {
		name := anyProcess(random)
		w.signal(name, syscall.SIGSTOP)
		return func() { w.signal(name, syscall.SIGCONT) }
	}},
	{"SIGHUP", func(w *cluster, random *rand.Rand) func() {
		w.signal(anyProcess(random), syscall.SIGHUP)
		return nil
	}},
	{"delay", func(w *cluster, random *rand.Rand) func() {
		one := w.proxies[random.IntN(sidecars)]
		one.set(time.Duration(random.IntN(150))*time.Millisecond, false, false)
		return func() { one.set(0, false, false) }
	}},
	{"partition", func(w *cluster, random *rand.Rand) func() {
		one := w.proxies[random.IntN(sidecars)]
		ways := random.IntN(3)
		one.set(0, ways != 1, ways != 2)
		return func() { one.set(0, false, false) }
	}},
	{"connection reset", func(w *cluster, random *rand.Rand) func() {
		w.proxies[random.IntN(sidecars)].reset()
		return nil
	}},
	{"table unavailable", func(w *cluster, random *rand.Rand) func() {
		w.table.SetUnavailable(true)
		return func() { w.table.SetUnavailable(false) }
	}},
	{"table drops replies", func(w *cluster, random *rand.Rand) func() {
		w.table.SetDropReplies(true)
		return func() { w.table.SetDropReplies(false) }
	}},
	{"table history truncated", func(w *cluster, random *rand.Rand) func() {
		w.table.TruncateHistory()
		return nil
	}},
	{"new manifest version", func(w *cluster, random *rand.Rand) func() {
		w.configure(int(time.Now().UnixMilli()))
		return nil
	}},
	{"zone evacuated", func(w *cluster, random *rand.Rand) func() {
		zone := fmt.Sprintf("evacuate/%c", 'a'+random.IntN(3))
		_ = w.table.Put("op", zone, map[string]any{})
		return func() { w.table.Delete("op", zone) }
	}},
	{"minion requests delayed", func(w *cluster, random *rand.Rand) func() {
		one := w.minion(random.IntN(sidecars))
		one.SetFaults(standin.Faults{Delayed: 0.2, MinDelay: time.Second, Unanswered: 0.1})
		return func() { one.SetFaults(standin.Faults{}) }
	}},
	{"tasks hang", func(w *cluster, random *rand.Rand) func() {
		one := w.minion(random.IntN(sidecars))
		one.SetFaults(standin.Faults{Hang: true})
		return func() { one.SetFaults(standin.Faults{}) }
	}},
	{"tasks fail", func(w *cluster, random *rand.Rand) func() {
		one := w.minion(random.IntN(sidecars))
		one.SetFaults(standin.Faults{Fail: 1})
		return func() { one.SetFaults(standin.Faults{}) }
	}},
}

// play injects random faults, which may overlap, for the given duration and then
// removes those that are still in effect.
func play(w *cluster, random *rand.Rand, length time.Duration) {
	until := time.Now().Add(length)
	var ends []func()
	for time.Now().Before(until) {
		drawn := faults[random.IntN(len(faults))]
		w.t.Logf("%s: %s", time.Now().Format("15:04:05.000"), drawn.name)
		if end := drawn.begin(w, random); end != nil {
			ends = append(ends, end)
		}
		time.Sleep(time.Duration(50+random.IntN(600)) * time.Millisecond)
		if len(ends) > 0 && random.IntN(2) == 0 {
			ends[0]()
			ends = ends[1:]
		}
	}
	for _, end := range ends {
		end()
	}
}
