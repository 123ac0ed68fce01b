package membership

import (
	"context"
	"errors"

	"github.com/figring/figring/store"
)

// renewOnce writes the session row once more. It fails only when the session
// was taken over: while the table is out the lease ends by itself, and the
// same session is renewed when the table is back and the row still there.
func (m *Manager) renewOnce(ctx context.Context) error {
	number, value := m.beginAttempt()
	versions, err := m.commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: sessionKey(m.self), Version: m.sessionVersion()}},
		Writes:     []store.Write{{Key: sessionKey(m.self), Value: value}},
	})
	if err == nil {
		m.recordRenewal(number, versions[0])
		return nil
	}
	if errors.Is(err, store.ErrUnavailable) {
		m.dropAttempt(number)
		return nil
	}
	return m.readSession(ctx)
}

// readSession finds out which attempt wrote the row last. An attempt that is
// not in the row yet stays open, because it may arrive later.
func (m *Manager) readSession(ctx context.Context) error {
	row, err := m.get(ctx, sessionKey(m.self))
	if errors.Is(err, store.ErrNotFound) {
		return m.stopFenced()
	}
	if err != nil {
		return nil
	}
	session, err := DecodeSession(row.Value)
	if err != nil {
		return nil
	}
	m.recordRenewal(session.Renewals, row.Version)
	return nil
}

func (m *Manager) recordRenewal(number, version int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isStopped {
		return
	}
	m.session.recordWritten(number, version)
	m.notifyChanged()
}

func (m *Manager) sessionVersion() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.session.version
}
