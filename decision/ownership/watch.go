package ownership

import (
	"time"

	"github.com/figring/figring/model"
)

// LapseAfter is how long a session must stay unchanged before an observer may
// take it over: the holder's lease and the drift between the two clocks.
const LapseAfter = model.SessionTTL + model.ClockMargin

// Watch is an observer's view of the sessions of others. A session lapses when
// its version stays the same for LapseAfter since the observer received its
// own first read of that version. The write of that version was sent before it
// was read, so the holder's lease has ended by then. The takeover must still
// require that version, because a renewal may arrive after the last read.
type Watch struct {
	seen         map[model.Incarnation]sighting
	lastReceived time.Time
}

type sighting struct {
	version int64
	since   time.Time
}

// NewWatch returns a watch that has seen nothing.
func NewWatch() *Watch {
	return &Watch{seen: make(map[model.Incarnation]sighting)}
}

// Observe takes in one whole listing, sent at sentAt and received at
// receivedAt. When the observer itself read nothing for a session's life, all
// sightings start anew: after an outage of the table the holders get the time
// to renew that they could not use.
func (w *Watch) Observe(rows []Session, sentAt, receivedAt time.Time) {
	blind := sentAt.Sub(w.lastReceived) > model.SessionTTL
	next := make(map[model.Incarnation]sighting, len(rows))
	for _, row := range rows {
		old, ok := w.seen[row.Incarnation]
		if ok && !blind && old.version == row.Version {
			next[row.Incarnation] = old
			continue
		}
		next[row.Incarnation] = sighting{version: row.Version, since: receivedAt}
	}
	w.seen = next
	w.lastReceived = receivedAt
}

// Lapsed reports whether the session, at exactly the given version, is over.
func (w *Watch) Lapsed(session Session, now time.Time) bool {
	old, ok := w.seen[session.Incarnation]
	if !ok || old.version != session.Version {
		return false
	}
	return now.Sub(old.since) >= LapseAfter
}

// Split divides the rows of the last listing into living and lapsed sessions.
func (w *Watch) Split(rows []Session, now time.Time) (live, lapsed []Session) {
	for _, row := range rows {
		if w.Lapsed(row, now) {
			lapsed = append(lapsed, row)
		} else {
			live = append(live, row)
		}
	}
	return live, lapsed
}
