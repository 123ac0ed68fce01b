package schedule

import (
	"fmt"
	"testing"
	"time"
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
