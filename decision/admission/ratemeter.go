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
	// dequeuedAt is when a task was last dequeued.
	dequeuedAt time.Time
	rate       float64
	measuredAt time.Time
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
	m.dequeuedAt = now
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

// current returns the measured rate, or hint without a recent measurement.
func (m *rateMeter) current(hint float64, now time.Time) float64 {
	if !m.isFresh(now) {
		return hint
	}
	return m.rate
}

// stall returns for how long nothing has been dequeued although there is a backlog; 0 up
// to two sample intervals. It predicts how long that will go on: the rate says nothing of
// it, neither the one before nor that of the few tasks since.
func (m *rateMeter) stall(now time.Time) time.Duration {
	if !m.active || m.resetPending {
		return 0
	}
	since := now.Sub(m.sampleStart)
	if m.dequeuedAt.After(m.sampleStart) {
		since = now.Sub(m.dequeuedAt)
	}
	if since <= 2*rateSampleInterval {
		return 0
	}
	return since
}
