package membership

import (
	"context"
	"errors"
	"fmt"

	"github.com/figring/figring/common/pause"
	"github.com/figring/figring/store"
)

// Leave transfers all partitions to other entries and returns when that is committed,
// or at once if no other entry can take them. The session continues until Close,
// because this entry keeps its claimed jobs until they end.
func (m *Manager) Leave(ctx context.Context) error {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	trySend(m.renewNow)
	m.Refresh()
	for {
		done, changed := m.leaveStatus()
		if done {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrTableUnavailable, ctx.Err())
		}
	}
}

// leaveStatus reports whether leaving is complete, and returns the channel that is
// closed at the next change.
func (m *Manager) leaveStatus() (bool, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isStopped || !m.session.registered {
		return true, nil
	}
	if m.view.loaded && !m.view.hasOtherCandidate(m.self) {
		return true, nil
	}
	empty := len(m.view.assignment.Owned(m.self)) == 0
	return m.view.loaded && empty && !m.inDoubt && m.session.leavingWritten, m.changed
}

// Close ends Run and deletes the session and fence rows, so that other entries need not
// wait for the session to expire. This entry owns nothing from the start of the call.
func (m *Manager) Close(ctx context.Context) error {
	m.stop()
	m.mu.Lock()
	cancel := m.cancel
	m.mu.Unlock()
	if cancel == nil {
		return nil
	}
	cancel()
	select {
	case <-m.runDone:
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrTableUnavailable, ctx.Err())
	}
	return m.deleteRows(ctx)
}

// deleteRows repeats the deletion until the rows are known to be gone. A failed
// condition proves that, and so does an absent fence row, because that row is written
// once and then only deleted.
func (m *Manager) deleteRows(ctx context.Context) error {
	fence := m.Fence()
	if fence.Version <= 0 {
		return nil
	}
	for {
		_, err := m.commit(ctx, store.Txn{
			Conditions: []store.Condition{fence},
			Writes: []store.Write{
				{Key: sessionKey(m.self), Delete: true},
				{Key: fence.Key, Delete: true},
			},
		})
		if err == nil || errors.Is(err, store.ErrConflict) {
			return nil
		}
		if _, readErr := m.get(ctx, fence.Key); errors.Is(readErr, store.ErrNotFound) {
			return nil
		}
		if pause.For(ctx, retryInterval) != nil {
			return fmt.Errorf("%w: %w", ErrTableUnavailable, err)
		}
	}
}
