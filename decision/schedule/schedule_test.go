package schedule

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// faultPhaseTime is the simulated time with faults, recoveryPhaseTime the time
	// without faults after it.
	faultPhaseTime    = 4 * time.Second
	recoveryPhaseTime = 6 * time.Second
	// defaultScheduleCount is the number of schedules simulated unless
	// scheduleCountEnv is set.
	defaultScheduleCount = 1000
	// scheduleCountEnv is the environment variable with the number of schedules.
	scheduleCountEnv = "FIGRING_SCHEDULES"
)

// TestEntriesAndSidecars simulates random schedules of jobs at two entries and three
// sidecars, with broken links, frozen processes, restarts, lost and delayed messages,
// and callers that resubmit. No task may run twice at the same time, no minion may
// exceed its capacity, and the answers "refused" and "completed" must be true. After
// the faults end, every caller must get an answer, all capacity must be free again
// and a new job must complete.
func TestEntriesAndSidecars(t *testing.T) {
	eachSchedule(t, defaultScheduleCount, runSchedule)
}

// eachSchedule runs as many schedules as the environment says, count unless it does, each as a
// subtest.
func eachSchedule(t *testing.T, count int, run func(t *testing.T, seed uint64)) {
	if value := os.Getenv(scheduleCountEnv); value != "" {
		var err error
		count, err = strconv.Atoi(value)
		must.NoError(t, err)
	}
	for seed := range count {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			run(t, uint64(seed))
		})
	}
}

func runSchedule(t *testing.T, seed uint64) {
	sim := newSimulation(t, seed)
	sim.crashesByChance = true
	rate := sim.drawInt(2, 12)
	for until := sim.now.Add(faultPhaseTime); sim.now.Before(until); {
		if sim.drawInt(0, 99) < rate {
			sim.submit()
		}
		if sim.drawInt(0, 39) == 0 {
			sim.injectFault()
		}
		sim.step()
	}
	sim.faultFree = true
	for until := sim.now.Add(recoveryPhaseTime); sim.now.Before(until); {
		sim.step()
	}
	checkRecovered(sim)
}

// checkRecovered checks the state after a time without faults: all callers have an
// answer, all capacity is free and a new job completes.
func checkRecovered(sim *simulation) {
	for _, c := range sim.callers {
		if !c.finished {
			sim.fail("%s has no answer after the recovery phase", c.job)
		}
	}
	for _, s := range sim.sidecars {
		if free, _ := s.core.CPUFreeAndQueued(); free != minionCapacity || len(s.minion.running) > 0 {
			sim.fail("%s has %d of %d mCPU free and %d runs after the recovery phase", s.name, free, minionCapacity, len(s.minion.running))
		}
	}
	sim.submit()
	last := sim.callers[len(sim.callers)-1]
	for range 300 {
		sim.step()
	}
	if !last.completed {
		sim.fail("a job submitted after the recovery phase did not complete")
	}
}
