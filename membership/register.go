package membership

import (
	"context"
	"errors"

	"github.com/figring/figring/common/pause"
	"github.com/figring/figring/store"
)

// register writes the session and fence rows and retries until they are known to exist.
// A retry can't overwrite an attempt that took effect, because each attempt requires the
// rows to be absent.
func (m *Manager) register(ctx context.Context) error {
	for {
		done, err := m.registerOnce(ctx)
		if done || err != nil {
			return err
		}
		if err := pause.For(ctx, retryInterval); err != nil {
			return err
		}
	}
}

func (m *Manager) registerOnce(ctx context.Context) (bool, error) {
	number, value := m.beginAttempt()
	versions, err := m.commit(ctx, store.Txn{
		Conditions: []store.Condition{
			{Key: sessionKey(m.self)},
			{Key: fenceKey(m.self)},
		},
		Writes: []store.Write{
			{Key: sessionKey(m.self), Value: value},
			{Key: fenceKey(m.self), Value: []byte(m.self)},
		},
	})
	if err == nil {
		m.recordRegistration(number, versions[0], versions[1])
		return true, nil
	}
	if errors.Is(err, store.ErrUnavailable) {
		m.dropAttempt(number)
		return false, nil
	}
	return m.readRegistration(ctx)
}

// readRegistration reads whether an earlier attempt took effect.
func (m *Manager) readRegistration(ctx context.Context) (bool, error) {
	fence, err := m.get(ctx, fenceKey(m.self))
	if err != nil {
		return false, nil
	}
	row, err := m.get(ctx, sessionKey(m.self))
	if errors.Is(err, store.ErrNotFound) {
		return false, m.stopFenced()
	}
	if err != nil {
		return false, nil
	}
	session, err := DecodeSession(row.Value)
	if err != nil {
		return false, nil
	}
	m.recordRegistration(session.Renewals, row.Version, fence.Version)
	return true, nil
}

func (m *Manager) recordRegistration(number, version, fenceVersion int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isStopped {
		return
	}
	m.session.registered = true
	m.session.fenceVersion = fenceVersion
	m.session.recordWritten(number, version)
	m.notifyChanged()
	m.opts.Log.Info().Str("entry", string(m.self)).Msg("session registered")
}

// beginAttempt records the sending time of a write of the session row, and returns the
// number of the attempt and the value to write.
func (m *Manager) beginAttempt() (int64, []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	number := m.session.beginAttempt(m.opts.Now(), m.leaving)
	row := SessionRow{Entry: m.opts.Self, Leaving: m.leaving, Renewals: number}
	return number, encodeSession(row)
}

func (m *Manager) dropAttempt(number int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.session.dropAttempt(number)
}
