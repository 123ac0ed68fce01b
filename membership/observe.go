package membership

import (
	"context"
	"errors"
	"time"

	"github.com/figring/figring/decision/ownership"
	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
)

// reading is one complete read of the table.
type reading struct {
	assignment ownership.Assignment
	version    int64
	rows       map[model.Incarnation]SessionRow
	sessions   []ownership.Session
}

// observeOnce reads the table, publishes the view and commits what self should
// change. A failed read or commit is repeated at the next turn.
func (m *Manager) observeOnce(ctx context.Context) error {
	sentAt := m.opts.Now()
	read, err := m.read(ctx)
	if err != nil {
		m.refreshSoon(ctx)
		return nil
	}
	now := m.opts.Now()
	if m.Lease().IsZero() {
		m.monitor.Reset()
	}
	m.monitor.Observe(read.sessions, sentAt, now)
	live, expired := m.split(read.sessions, now)
	m.publish(read.assignment, read.version, read.rows)
	proposal := ownership.Plan(read.assignment, live, expired, m.self, now)
	m.apply(ctx, read, live, proposal)
	return nil
}

// read reads the assignment before the sessions: an owner in it had a session
// then, so that a session missing from the listing is over, not yet to come.
func (m *Manager) read(ctx context.Context) (reading, error) {
	var read reading
	row, err := m.get(ctx, AssignmentKey)
	switch {
	case err == nil:
		read.version = row.Version
		read.assignment, err = decodeAssignment(row)
	case errors.Is(err, store.ErrNotFound):
		err = nil
	}
	if err != nil {
		return read, err
	}
	rows, err := m.list(ctx, SessionPrefix)
	if err != nil {
		return read, err
	}
	read.addSessions(rows)
	return read, nil
}

func (r *reading) addSessions(rows []store.Row) {
	r.rows = make(map[model.Incarnation]SessionRow, len(rows))
	for _, row := range rows {
		decoded, err := DecodeSession(row.Value)
		if err != nil {
			continue
		}
		incarnation := model.Incarnation(row.Key[len(SessionPrefix):])
		r.rows[incarnation] = decoded
		r.sessions = append(r.sessions, ownership.Session{
			Incarnation: incarnation,
			Leaving:     decoded.Leaving,
			Version:     row.Version,
		})
	}
}

// split divides the sessions. This entry's own one is never expired to itself,
// and it leaves from the moment that it was told to.
func (m *Manager) split(sessions []ownership.Session, now time.Time) (live, expired []ownership.Session) {
	m.mu.Lock()
	leaving := m.leaving
	m.mu.Unlock()
	for _, session := range sessions {
		self := session.Incarnation == m.self
		session.Leaving = session.Leaving || (self && leaving)
		if !self && m.monitor.Expired(session, now) {
			expired = append(expired, session)
		} else {
			live = append(live, session)
		}
	}
	return live, expired
}

func liveRows(rows map[model.Incarnation]SessionRow, live []ownership.Session) map[model.Incarnation]SessionRow {
	kept := make(map[model.Incarnation]SessionRow, len(live))
	for _, session := range live {
		kept[session.Incarnation] = rows[session.Incarnation]
	}
	return kept
}

// publish replaces the view and drops partitions that are not assigned here.
func (m *Manager) publish(assignment ownership.Assignment, version int64, live map[model.Incarnation]SessionRow) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view = newView(assignment, version, live)
	for p := range m.held {
		if assignment.Partitions[p].Owner != m.self {
			delete(m.held, p)
		}
	}
	if version != m.doubt {
		m.inDoubt = false
	}
	m.notify()
}
