package admission

import "time"

const (
	// rateSampleInterval is the minimum duration of one sample of the rate.
	rateSampleInterval = 250 * time.Millisecond
	// maxRateAge is how long a measured rate is preferred to the router's figure.
	maxRateAge = 3 * time.Second
	// rateSampleWeight is the weight of a new sample in the moving average.
	rateSampleWeight = 0.5
)

// rateMeter measures the rate at which tasks are dequeued while there is a
// backlog. Without a backlog, that rate is the arrival rate and says nothing about
// the capacity of the targets.
type rateMeter struct {
	sampleStart time.Time
	dequeued    int
	active      bool
	rate        float64
	measuredAt  time.Time
	// resetPending starts a new sample when the next task is dequeued.
	resetPending bool
}

// start begins a measurement when a backlog builds up. It has no effect while one
// is running.
func (m *rateMeter) start(now time.Time) {
	if m.active {
		return
	}
	m.active = true
	m.sampleStart = now
	m.dequeued = 0
}

// stop ends the measurement when the backlog has cleared.
func (m *rateMeter) stop() {
	m.active = false
}

// reset discards the measurement after a time without targets, in which tasks
// could not be dequeued.
func (m *rateMeter) reset() {
	m.resetPending = true
	m.measuredAt = time.Time{}
}

func (m *rateMeter) taskDequeued(now time.Time) {
	if m.resetPending {
		m.resetPending = false
		m.sampleStart = now
		m.dequeued = 0
	}
	m.dequeued++
	elapsed := now.Sub(m.sampleStart)
	if !m.active || elapsed < rateSampleInterval {
		return
	}
	m.addSample(float64(m.dequeued)/elapsed.Seconds(), now)
	m.sampleStart = now
	m.dequeued = 0
}

func (m *rateMeter) taskRequeued() {
	m.dequeued--
}

func (m *rateMeter) addSample(rate float64, now time.Time) {
	if !m.isFresh(now) {
		m.rate = rate
	} else {
		m.rate += rateSampleWeight * (rate - m.rate)
	}
	m.rate = max(0, m.rate)
	m.measuredAt = now
}

// isFresh reports whether the rate was measured within maxRateAge.
func (m *rateMeter) isFresh(now time.Time) bool {
	return !m.measuredAt.IsZero() && now.Sub(m.measuredAt) <= maxRateAge
}

// current returns the measured rate, or hint without a recent measurement. When
// a sample has been running for more than two intervals, the rate is limited to
// that of the unfinished sample, so that it falls when the backlog stops draining.
func (m *rateMeter) current(hint float64, now time.Time) float64 {
	if !m.isFresh(now) {
		return hint
	}
	if elapsed := now.Sub(m.sampleStart); m.active && elapsed > 2*rateSampleInterval {
		return min(m.rate, float64(max(1, m.dequeued))/elapsed.Seconds())
	}
	return m.rate
}
