package schedule

import (
	"fmt"
	"time"

	"github.com/figring/figring/decision/execution"
	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

const (
	minionCapacity = 10_000
	taskNeed       = 3_000
)

// sidecar is a sidecar's core beside its minion.
type sidecar struct {
	world  *world
	name   string
	boot   int
	core   *execution.Core
	minion *minion
	// frozenTill is until when the process does nothing, or is gone.
	frozenTill time.Time
}

func newSidecar(w *world, name string) *sidecar {
	made := &sidecar{world: w, name: name, minion: newMinion(w, name)}
	made.restart(w.now)
	return made
}

// restart ends the process; the next life begins at the time.
func (s *sidecar) restart(at time.Time) {
	s.boot++
	s.core = execution.New(int64(s.boot) * 1_000_000)
	s.frozenTill = at
}

func (s *sidecar) life() string { return fmt.Sprintf("%s.%03d", s.name, s.boot) }

func (s *sidecar) alive(now time.Time) bool { return !now.Before(s.frozenTill) }

// step looks at the minion and does what the core asks for.
func (s *sidecar) step(now time.Time) {
	if !s.alive(now) {
		return
	}
	if now.Before(s.minion.downTill) {
		s.core.PollFailed(now, true)
		s.core.Tick(now)
		s.act(now)
		return
	}
	s.core.Heartbeat(now, session.Minion{
		ID: s.name, Service: "desk", Born: s.minion.born, Capacity: work.Room{MilliCPU: minionCapacity, MemMB: 1 << 10},
	}, false)
	s.look(now)
	s.core.Tick(now)
	s.act(now)
}

func (s *sidecar) look(now time.Time) {
	number, fence := s.core.NextPoll(), s.core.Fence()
	if s.core.MayRenew(now) {
		s.minion.renew(now)
	}
	if !s.minion.look(fence, s.core.AckedUpTo()) {
		s.core.PollFenced(fence)
		return
	}
	s.core.PollAnswered(now, s.minion.list(number, fence, now))
}

func (s *sidecar) act(now time.Time) {
	for actions := s.core.TakeActions(); len(actions) > 0; actions = s.core.TakeActions() {
		for _, action := range actions {
			switch action := action.(type) {
			case execution.Start:
				s.core.StartAnswered(now, action, s.start(now, action))
			case execution.Stop:
				if !now.Before(s.minion.downTill) {
					s.minion.stop(action)
				}
			}
		}
	}
}

func (s *sidecar) start(now time.Time, order execution.Start) execution.StartOutcome {
	if now.Before(s.minion.downTill) {
		return execution.StartRejected
	}
	return s.minion.start(now, order)
}
