package schedule

import (
	"fmt"
	"time"

	"github.com/figring/figring/decision/execution"
	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

const (
	// minionCapacity is the CPU of a minion, taskNeed that of a task, both in
	// thousandths of a core.
	minionCapacity = 10_000
	taskNeed       = 3_000
	// lapseMargin is the time after which a lapse of the lease is certain to the sidecar.
	lapseMargin = 50 * time.Millisecond
)

// sidecar simulates the process of a sidecar, its core, and holds its minion.
type sidecar struct {
	sim  *simulation
	name string
	// starts counts the starts of the process.
	starts int
	core   *execution.Core
	minion *minion
	// frozenUntil is the end of the time in which the process is suspended or down.
	frozenUntil time.Time
}

func newSidecar(sim *simulation, name string) *sidecar {
	made := &sidecar{sim: sim, name: name, minion: newMinion(sim, name)}
	made.restart(sim.now)
	return made
}

// restart ends the process; its next incarnation starts at the given time.
func (s *sidecar) restart(at time.Time) {
	s.starts++
	s.core = execution.New(int64(s.starts) * 1_000_000)
	s.frozenUntil = at
}

func (s *sidecar) incarnation() string { return fmt.Sprintf("%s.%03d", s.name, s.starts) }

func (s *sidecar) alive(now time.Time) bool { return !now.Before(s.frozenUntil) }

// step polls the minion and performs the actions of the core.
func (s *sidecar) step(now time.Time) {
	if !s.alive(now) {
		return
	}
	if now.Before(s.minion.downUntil) {
		s.core.PollFailed(now, true)
		s.core.Tick(now)
		s.performActions(now)
		return
	}
	if !now.Before(s.minion.nextReport) {
		s.minion.nextReport = now.Add(reportInterval)
		s.core.Heartbeat(now, session.Minion{
			ID: s.name, Service: "desk", Born: s.minion.incarnation, Capacity: work.Resources{MilliCPU: s.minion.capacity, MemMB: 1 << 10},
		}, false)
	}
	s.pollMinion(now)
	if s.sim.kept != nil && now.After(s.minion.leaseUntil.Add(lapseMargin)) {
		s.core.LeaseLapsed(now)
	}
	s.core.Tick(now)
	s.performActions(now)
}

func (s *sidecar) pollMinion(now time.Time) {
	number, fence := s.core.NextPoll(), s.core.Fence()
	if s.core.MayRenew(now) {
		s.minion.renew(now)
	}
	if !s.minion.acceptPoll(fence, s.core.AckedUpTo()) {
		s.core.PollFenced(fence)
		return
	}
	s.core.PollAnswered(now, s.minion.list(number, fence, now))
}

func (s *sidecar) performActions(now time.Time) {
	for actions := s.core.TakeActions(); len(actions) > 0; actions = s.core.TakeActions() {
		for _, action := range actions {
			switch action := action.(type) {
			case execution.Start:
				s.core.StartAnswered(now, action, s.start(now, action))
			case execution.Stop:
				if !now.Before(s.minion.downUntil) {
					s.minion.stop(action)
				}
			}
		}
	}
}

func (s *sidecar) start(now time.Time, order execution.Start) execution.StartOutcome {
	if now.Before(s.minion.downUntil) {
		return execution.StartRejected
	}
	return s.minion.start(now, order)
}
