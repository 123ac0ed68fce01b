package schedules

import (
	"time"

	"pgregory.net/rapid"
)

// maxDriftPermille bounds how fast or slow a clock runs, so that two clocks
// differ by less than model.ClockMargin over a lease.
const maxDriftPermille = 28

// clock is one process's clock. It runs fast or slow by its drift and has no
// offset at the start.
type clock struct{ permille int64 }

func (c clock) at(now time.Time) time.Time {
	passed := now.Sub(worldStart)
	return worldStart.Add(passed + passed*time.Duration(c.permille)/1000)
}

func (w *simulation) drawClock() clock {
	rate := rapid.SampledFrom([]int64{0, -maxDriftPermille, maxDriftPermille}).Draw(w.t, "drift")
	return clock{permille: rate}
}
