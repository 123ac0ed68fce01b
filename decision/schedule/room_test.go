package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/figring/figring/work"
)

// TestShrunkRoomIsNotOverfilled guards against starts that bring a minion over a room that
// has shrunk while it runs: at most roomGrace after it has shrunk, no start may count on
// the former room, whatever fails meanwhile.
func TestShrunkRoomIsNotOverfilled(t *testing.T) {
	for seed := range uint64(300) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, seed)
			sim.crashesByChance = true
			for until := sim.now.Add(12 * time.Second); sim.now.Before(until); {
				if sim.drawInt(0, 99) < 30 {
					sim.submit()
				}
				if sim.drawInt(0, 99) == 0 {
					sim.changeRoom()
				}
				if sim.drawInt(0, 59) == 0 {
					sim.injectFault()
				}
				sim.step()
			}
		})
	}
}

// changeRoom shrinks the room of a minion, or restores it.
func (sim *simulation) changeRoom() {
	m := sim.sidecars[sim.drawInt(0, len(sim.sidecars)-1)].minion
	m.setCapacity(sim.now, int64(minionCapacity*sim.drawInt(1, 4)/4))
	sim.logEvent("the room of %s is %d mCPU", m.name, m.capacity)
}

// TestRestartedSidecarGetsNoOutdatedRoom guards against an entry that was cut off while a
// minion's room shrank and passes the former room on to a sidecar that has just started.
func TestRestartedSidecarGetsNoOutdatedRoom(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.faultFree = true
	run := func(length time.Duration) {
		for until := sim.now.Add(length); sim.now.Before(until); {
			sim.step()
		}
	}
	run(time.Second)
	cutOff, shrunk := sim.entries[0], sim.sidecars[0]
	for _, other := range sim.sidecars[1:] {
		other.frozenUntil = sim.now.Add(time.Hour)
	}
	sim.linkDownUntil[cutOff.name+shrunk.name] = sim.now.Add(time.Hour)
	shrunk.minion.setCapacity(sim.now, taskNeed-1)
	run(roomGrace + time.Second)
	shrunk.restart(sim.now)
	shrunk.minion.nextReport = sim.now.Add(reportInterval)
	sim.linkDownUntil[cutOff.name+shrunk.name] = sim.now
	for range 10 {
		run(100 * time.Millisecond)
		c := &caller{job: work.JobID(fmt.Sprintf("j%d", len(sim.callers))), route: routeName, tasks: 1}
		sim.runTimes[c.job] = 100 * time.Millisecond
		sim.callers = append(sim.callers, c)
		sim.submitTo(c, cutOff)
	}
}
