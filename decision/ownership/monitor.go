package ownership

import (
	"time"

	"github.com/figring/figring/model"
)

// TakeoverAfter is how long a session must stay unchanged before an observer may
// take over its partitions: the duration of the holder's lease plus a margin for the
// drift between the two clocks.
const TakeoverAfter = model.SessionTTL + model.ClockMargin

// Monitor tracks the sessions of other entries. A session expires when its version
// has stayed the same for TakeoverAfter since the observer received its first read of
// that version. The holder sent the write of that version before that read, so its
// lease has ended by then. The commit of a takeover must still be conditional on that
// version, because a renewal may arrive after the last read.
type Monitor struct {
	observations map[model.Incarnation]observation
	lastReceived time.Time
}

// maxReadGap is the time without a read after which earlier observations are
// discarded: the fault that prevented the observer from reading may also have
// prevented the holders from renewing.
const maxReadGap = 2 * model.SessionRenewal

// observation is a version of a session row and when it was first received.
type observation struct {
	version int64
	since   time.Time
}

// NewMonitor returns a monitor without observations.
func NewMonitor() *Monitor {
	return &Monitor{observations: make(map[model.Incarnation]observation)}
}

// Observe records a complete listing that was requested at sentAt and received at
// receivedAt. When the previous listing is older than maxReadGap, all observations
// start again, so that after an outage of the table the holders get the time to renew
// that the outage took from them.
func (m *Monitor) Observe(rows []Session, sentAt, receivedAt time.Time) {
	readGap := sentAt.Sub(m.lastReceived) > maxReadGap
	next := make(map[model.Incarnation]observation, len(rows))
	for _, row := range rows {
		old, ok := m.observations[row.Incarnation]
		if ok && !readGap && old.version == row.Version {
			next[row.Incarnation] = old
			continue
		}
		next[row.Incarnation] = observation{version: row.Version, since: receivedAt}
	}
	m.observations = next
	m.lastReceived = receivedAt
}

// Reset discards all observations. An observer calls it when its own lease has ended,
// because the table may be refusing the renewals of all holders and not just one.
func (m *Monitor) Reset() {
	clear(m.observations)
}

// Expired reports whether the given version of the session has stayed unchanged for
// TakeoverAfter.
func (m *Monitor) Expired(session Session, now time.Time) bool {
	old, ok := m.observations[session.Incarnation]
	if !ok || old.version != session.Version {
		return false
	}
	return now.Sub(old.since) >= TakeoverAfter
}
