// Package serial provides an event loop that runs steps one at a time in a single
// goroutine, fed by a bounded queue. State machines that run in the loop need no
// locks.
package serial

import (
	"context"
	"time"

	"github.com/figring/figring/common/boottime"
)

// Step is a unit of work of a Loop. It must not block.
type Step func(now time.Time)

// Loop runs steps one at a time. Create it with New.
type Loop struct {
	steps     chan Step
	done      chan struct{}
	afterEach func(now time.Time)
	onTick    func(now time.Time)
	interval  time.Duration
}

// New returns a loop whose queue holds size steps. The loop calls onTick once per
// interval, and afterEach following each step and each tick.
func New(size int, interval time.Duration, onTick, afterEach func(now time.Time)) *Loop {
	return &Loop{
		steps:     make(chan Step, size),
		done:      make(chan struct{}),
		afterEach: afterEach,
		onTick:    onTick,
		interval:  interval,
	}
}

// Run runs steps until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	ticker := time.NewTicker(l.interval)
	defer ticker.Stop()
	for {
		select {
		case step := <-l.steps:
			now := boottime.Now()
			step(now)
			l.afterEach(now)
		case <-ticker.C:
			now := boottime.Now()
			l.onTick(now)
			l.afterEach(now)
		case <-ctx.Done():
			return
		}
	}
}

// Post enqueues a step, and blocks while the queue is full. It reports false when
// the loop has ended.
func (l *Loop) Post(step Step) bool {
	select {
	case l.steps <- step:
		return true
	case <-l.done:
		return false
	}
}

// Do enqueues a step and waits until it has run. It reports false when the loop has
// ended.
func (l *Loop) Do(step Step) bool {
	finished := make(chan struct{})
	if !l.Post(func(now time.Time) { step(now); close(finished) }) {
		return false
	}
	select {
	case <-finished:
		return true
	case <-l.done:
		return false
	}
}
