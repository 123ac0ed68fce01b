// Package serial runs steps over a state one after the other, in one goroutine
// behind a bounded ring. State machines without locks live behind it.
package serial

import (
	"context"
	"time"

	"github.com/figring/figring/common/boottime"
)

// Step is one thing to do. It must not block.
type Step func(now time.Time)

// Loop runs steps. Use New.
type Loop struct {
	steps chan Step
	done  chan struct{}
	after func(now time.Time)
	tick  func(now time.Time)
	every time.Duration
}

// New returns a loop whose ring holds size steps. The function tick runs at
// the interval every, and after runs after each step and each tick.
func New(size int, every time.Duration, tick, after func(now time.Time)) *Loop {
	return &Loop{
		steps: make(chan Step, size),
		done:  make(chan struct{}),
		after: after,
		tick:  tick,
		every: every,
	}
}

// Run runs steps until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	ticker := time.NewTicker(l.every)
	defer ticker.Stop()
	for {
		select {
		case step := <-l.steps:
			now := boottime.Now()
			step(now)
			l.after(now)
		case <-ticker.C:
			now := boottime.Now()
			l.tick(now)
			l.after(now)
		case <-ctx.Done():
			return
		}
	}
}

// Post enqueues a step. It reports false when the loop has ended.
func (l *Loop) Post(step Step) bool {
	select {
	case l.steps <- step:
		return true
	case <-l.done:
		return false
	}
}

// Do runs a step and waits for it. It reports false when the loop has ended.
func (l *Loop) Do(step Step) bool {
	ran := make(chan struct{})
	if !l.Post(func(now time.Time) { step(now); close(ran) }) {
		return false
	}
	select {
	case <-ran:
		return true
	case <-l.done:
		return false
	}
}
