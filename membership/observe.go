package membership

import (
	"context"
	"errors"
	"time"

	"github.com/figring/figring/decision/ownership"
	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
)

// tableSnapshot is one complete read of the table.
type tableSnapshot struct {
	assignment ownership.Assignment
	version    int64
	rows       map[model.Incarnation]SessionRow
	sessions   []ownership.Session
}

// observeOnce reads the table, publishes the view and commits the changes that this
// entry should make. A failed read or commit is retried by the next call.
func (m *Manager) observeOnce(ctx context.Context) error {
	sentAt := m.opts.Now()
	snapshot, err := m.readTable(ctx)
	if err != nil {
		m.refreshAfterPause(ctx)
		return nil
	}
	now := m.opts.Now()
	if m.Lease().IsZero() {
		m.monitor.Reset()
	}
	m.monitor.Observe(snapshot.sessions, sentAt, now)
	live, expired := m.splitByExpiry(snapshot.sessions, now)
	m.publish(snapshot.assignment, snapshot.version, snapshot.rows)
	proposal := ownership.Plan(snapshot.assignment, live, expired, m.self, now)
	m.apply(ctx, snapshot, live, proposal)
	return nil
}

// readTable reads the assignment before the sessions. An owner in the assignment already
// had a session by then, so a session missing from the later listing has ended rather
// than not yet begun.
func (m *Manager) readTable(ctx context.Context) (tableSnapshot, error) {
	var snapshot tableSnapshot
	row, err := m.get(ctx, AssignmentKey)
	switch {
	case err == nil:
		snapshot.version = row.Version
		snapshot.assignment, err = decodeAssignment(row)
	case errors.Is(err, store.ErrNotFound):
		err = nil
	}
	if err != nil {
		return snapshot, err
	}
	rows, err := m.list(ctx, SessionPrefix)
	if err != nil {
		return snapshot, err
	}
	snapshot.addSessions(rows)
	return snapshot, nil
}

func (r *tableSnapshot) addSessions(rows []store.Row) {
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

// splitByExpiry divides the sessions into live and expired ones. This entry never treats
// its own session as expired, and treats it as leaving as soon as Leave is called.
func (m *Manager) splitByExpiry(sessions []ownership.Session, now time.Time) (live, expired []ownership.Session) {
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

// liveRows returns the rows of the live sessions.
func liveRows(rows map[model.Incarnation]SessionRow, live []ownership.Session) map[model.Incarnation]SessionRow {
	kept := make(map[model.Incarnation]SessionRow, len(live))
	for _, session := range live {
		kept[session.Incarnation] = rows[session.Incarnation]
	}
	return kept
}

// publish replaces the view and drops partitions that are no longer assigned to this
// entry.
func (m *Manager) publish(assignment ownership.Assignment, version int64, live map[model.Incarnation]SessionRow) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view = newView(assignment, version, live)
	for p := range m.acquired {
		if assignment.Partitions[p].Owner != m.self {
			delete(m.acquired, p)
		}
	}
	if version != m.inDoubtVersion {
		m.inDoubt = false
	}
	m.notifyChanged()
}
