package ownership

import (
	"time"

	"github.com/figring/figring/model"
)

// TakeoverAfter is how long a session must stay unchanged before an observer may
// take it over: the holder's lease and the drift between the two clocks.
const TakeoverAfter = model.SessionTTL + model.ClockMargin

// Monitor is an observer's view of the sessions of others. A session expires when
// its version stays the same for LapseAfter since the observer received its
// own first read of that version. The write of that version was sent before it
// was read, so the holder's lease has ended by then. The takeover must still
// require that version, because a renewal may arrive after the last read.
type Monitor struct {
	seen         map[model.Incarnation]sighting
	lastReceived time.Time
}

// blindAfter is the time without a read after which an observer no longer
// trusts its own sightings: what kept it from reading may have kept the
// holders from renewing.
const blindAfter = 2 * model.SessionRenewal

type sighting struct {
	version int64
	since   time.Time
}

// NewMonitor returns a monitor that has seen nothing.
func NewMonitor() *Monitor {
	return &Monitor{seen: make(map[model.Incarnation]sighting)}
}

// Observe takes in one whole listing, sent at sentAt and received at
// receivedAt. When the observer itself read nothing for blindAfter, all
// sightings start anew: after an outage of the table the holders get the time
// to renew that they could not use.
func (m *Monitor) Observe(rows []Session, sentAt, receivedAt time.Time) {
	blind := sentAt.Sub(m.lastReceived) > blindAfter
	next := make(map[model.Incarnation]sighting, len(rows))
	for _, row := range rows {
		old, ok := m.seen[row.Incarnation]
		if ok && !blind && old.version == row.Version {
			next[row.Incarnation] = old
			continue
		}
		next[row.Incarnation] = sighting{version: row.Version, since: receivedAt}
	}
	m.seen = next
	m.lastReceived = receivedAt
}

// Reset forgets all sightings. An observer whose own lease is over calls it:
// the table may refuse everybody's renewals and not only those of one holder.
func (m *Monitor) Reset() {
	clear(m.seen)
}

// Expired reports whether the session, at exactly the given version, is over.
func (m *Monitor) Expired(session Session, now time.Time) bool {
	old, ok := m.seen[session.Incarnation]
	if !ok || old.version != session.Version {
		return false
	}
	return now.Sub(old.since) >= TakeoverAfter
}
