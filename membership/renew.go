package membership

import (
	"context"
	"errors"

	"github.com/figring/figring/store"
)

// renewOnce renews the session by writing its row. It fails only if the session was
// taken over. During an outage of the table the lease expires, and the same session is
// renewed afterwards if its row still exists.
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

// readSession reads which attempt wrote the row last. Later attempts stay pending,
// because they may still take effect.
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
