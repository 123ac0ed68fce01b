package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/figring/figring/platform/standin"
)

// fault begins something and returns what ends it; nil when nothing is to end.
type fault struct {
	name  string
	begin func(w *world, random *rand.Rand) func()
}

// anyProcess draws a process; sidecars and entries alike.
func anyProcess(random *rand.Rand) string {
	number := random.IntN(sidecars + entries)
	if number < sidecars {
		return sidecarName(number)
	}
	return entryName(number - sidecars)
}

var faults = []fault{
	{"kill", func(w *world, random *rand.Rand) func() {
		w.signal(anyProcess(random), syscall.SIGKILL)
		return nil
	}},
	{"terminate", func(w *world, random *rand.Rand) func() {
		w.signal(anyProcess(random), syscall.SIGTERM)
		return nil
	}},
	{"pause", func(w *world, random *rand.Rand) func() {
		name := anyProcess(random)
		w.signal(name, syscall.SIGSTOP)
		return func() { w.signal(name, syscall.SIGCONT) }
	}},
	{"hang up", func(w *world, random *rand.Rand) func() {
		w.signal(anyProcess(random), syscall.SIGHUP)
		return nil
	}},
	{"delay", func(w *world, random *rand.Rand) func() {
		one := w.proxies[random.IntN(sidecars)]
		one.set(time.Duration(random.IntN(150))*time.Millisecond, false, false)
		return func() { one.set(0, false, false) }
	}},
	{"silence", func(w *world, random *rand.Rand) func() {
		one := w.proxies[random.IntN(sidecars)]
		ways := random.IntN(3)
		one.set(0, ways != 1, ways != 2)
		return func() { one.set(0, false, false) }
	}},
	{"reset", func(w *world, random *rand.Rand) func() {
		w.proxies[random.IntN(sidecars)].reset()
		return nil
	}},
	{"table out", func(w *world, random *rand.Rand) func() {
		w.table.SetUnavailable(true)
		return func() { w.table.SetUnavailable(false) }
	}},
	{"table loses answers", func(w *world, random *rand.Rand) func() {
		w.table.SetDropReplies(true)
		return func() { w.table.SetDropReplies(false) }
	}},
	{"table forgets", func(w *world, random *rand.Rand) func() {
		w.table.TruncateHistory()
		return nil
	}},
	{"manifest", func(w *world, random *rand.Rand) func() {
		w.configure(int(time.Now().UnixMilli()))
		return nil
	}},
	{"zone out", func(w *world, random *rand.Rand) func() {
		zone := fmt.Sprintf("evacuate/%c", 'a'+random.IntN(3))
		_ = w.table.Put("op", zone, map[string]any{})
		return func() { w.table.Delete("op", zone) }
	}},
	{"orders late", func(w *world, random *rand.Rand) func() {
		one := w.minions[random.IntN(sidecars)]
		one.SetFaults(standin.Faults{Delayed: 0.2, MinDelay: time.Second, Unanswered: 0.1})
		return func() { one.SetFaults(standin.Faults{}) }
	}},
	{"tasks stand still", func(w *world, random *rand.Rand) func() {
		one := w.minions[random.IntN(sidecars)]
		one.SetFaults(standin.Faults{Hang: true})
		return func() { one.SetFaults(standin.Faults{}) }
	}},
	{"tasks fail", func(w *world, random *rand.Rand) func() {
		one := w.minions[random.IntN(sidecars)]
		one.SetFaults(standin.Faults{Fail: 1})
		return func() { one.SetFaults(standin.Faults{}) }
	}},
}

// play begins faults, which overlap and come in series, until the time is over,
// and ends them all.
func play(w *world, random *rand.Rand, length time.Duration) {
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
