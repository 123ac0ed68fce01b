package admission

import "time"

const (
	// drainSample is the time with a backlog that one sample of the rate covers.
	drainSample = 250 * time.Millisecond
	// drainFresh is how long a measured rate is preferred to the router's.
	drainFresh = 3 * time.Second
	// drainWeight is the weight of a new sample.
	drainWeight = 0.5
)

// drain measures the rate at which tasks leave the queue while there is a
// backlog. Without one, the rate is that of the callers and says nothing about
// what the targets can do.
type drain struct {
	began    time.Time
	taken    int
	active   bool
	rate     float64
	measured time.Time
	// restart drops what was measured before the next task is taken.
	restart bool
}

// begin starts to measure when a backlog arises.
func (d *drain) begin(now time.Time) {
	if d.active {
		return
	}
	d.active = true
	d.began = now
	d.taken = 0
}

// stop ends the measurement when the backlog is gone.
func (d *drain) stop() {
	d.active = false
}

// forget drops what was measured: it was the rate of a fleet without targets.
func (d *drain) forget() {
	d.restart = true
	d.measured = time.Time{}
}

func (d *drain) take(now time.Time) {
	if d.restart {
		d.restart = false
		d.began = now
		d.taken = 0
	}
	d.taken++
	elapsed := now.Sub(d.began)
	if !d.active || elapsed < drainSample {
		return
	}
	d.sample(float64(d.taken)/elapsed.Seconds(), now)
	d.began = now
	d.taken = 0
}

func (d *drain) giveBack() {
	d.taken--
}

func (d *drain) sample(rate float64, now time.Time) {
	if !d.fresh(now) {
		d.rate = rate
	} else {
		d.rate += drainWeight * (rate - d.rate)
	}
	d.rate = max(0, d.rate)
	d.measured = now
}

// fresh reports whether the rate was measured lately.
func (d *drain) fresh(now time.Time) bool {
	return !d.measured.IsZero() && now.Sub(d.measured) <= drainFresh
}

// current returns the rate, or hint when nothing was measured lately. A backlog
// from which little was taken for longer than a sample lowers the rate.
func (d *drain) current(hint float64, now time.Time) float64 {
	if !d.fresh(now) {
		return hint
	}
	if elapsed := now.Sub(d.began); d.active && elapsed > 2*drainSample {
		return min(d.rate, float64(max(1, d.taken))/elapsed.Seconds())
	}
	return d.rate
}
