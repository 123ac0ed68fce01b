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
	faultTime = 4 * time.Second
	calmTime  = 6 * time.Second
	// schedules is the number of schedules that are played when nothing is said.
	schedules = 1000
	// countVariable says how many are played.
	countVariable = "FIGRING_SCHEDULES"
)

// TestEntriesAndSidecars draws schedules of jobs at two entries and three
// sidecars, with cuts, freezes, restarts, lost and late messages, and callers who
// come again. No task is at work twice at a time, no minion is over its capacity,
// "refused" and "completed" are true, and in the end every caller is answered, no
// room is lost and a job is served.
func TestEntriesAndSidecars(t *testing.T) {
	count := schedules
	if asked := os.Getenv(countVariable); asked != "" {
		var err error
		count, err = strconv.Atoi(asked)
		must.NoError(t, err)
	}
	for seed := range count {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			play(t, uint64(seed))
		})
	}
}

func play(t *testing.T, seed uint64) {
	w := newWorld(t, seed)
	rate := w.draw(2, 12)
	for until := w.now.Add(faultTime); w.now.Before(until); {
		if w.draw(0, 99) < rate {
			w.submit()
		}
		if w.draw(0, 39) == 0 {
			w.fault()
		}
		w.step()
	}
	w.calm = true
	for until := w.now.Add(calmTime); w.now.Before(until); {
		w.step()
	}
	checkCalm(w)
}

// checkCalm judges a world without faults for a while.
func checkCalm(w *world) {
	for _, one := range w.callers {
		if !one.over {
			w.fail("%s has no answer", one.job)
		}
	}
	for _, s := range w.sidecars {
		if free, _ := s.core.CPUFreeAndQueued(); free != minionCapacity || len(s.minion.running) > 0 {
			w.fail("%s has %d of %d free, and %d runs", s.name, free, minionCapacity, len(s.minion.running))
		}
	}
	w.submit()
	last := w.callers[len(w.callers)-1]
	for range 300 {
		w.step()
	}
	if !last.completed {
		w.fail("a job at the end is not served")
	}
}
