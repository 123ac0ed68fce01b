package membership

import (
	"context"

	"github.com/figring/figring/claims"
	"github.com/figring/figring/common/pause"
	"github.com/figring/figring/decision/ownership"
	"github.com/figring/figring/model"
)

// acquisition is a set of partitions that are assigned to this entry but whose claims
// are not loaded yet. It maps each of them to the epoch of its assignment.
type acquisition struct {
	epochs       map[int]int64
	formerOwners []model.Incarnation
}

// acquireLoop loads the claims of newly assigned partitions. It runs in its own
// goroutine, so that a long load delays neither renewals nor observations.
func (m *Manager) acquireLoop(ctx context.Context) error {
	for {
		select {
		case <-m.acquireNow:
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := m.acquireOnce(ctx); err == nil {
			continue
		}
		if err := pause.For(ctx, retryInterval); err != nil {
			return err
		}
		trySend(m.acquireNow)
	}
}

func (m *Manager) acquireOnce(ctx context.Context) error {
	pending := m.pendingAcquisition()
	if len(pending.epochs) == 0 {
		return nil
	}
	inPending := func(p int) bool { _, ok := pending.epochs[p]; return ok }
	since := m.opts.Now().Add(-ownership.FormerOwnerRetention)
	loaded, err := claims.Load(ctx, m.opts.Table, pending.formerOwners, since, inPending)
	if err != nil {
		return err
	}
	byPartition := make(map[int][]claims.Stored)
	for _, claim := range loaded {
		p := claim.Key.Partition()
		byPartition[p] = append(byPartition[p], claim)
	}
	for p, epoch := range pending.epochs {
		m.acquire(p, epoch, byPartition[p])
	}
	m.opts.Log.Info().Int("partitions", len(pending.epochs)).Int("claims", len(loaded)).Msg("partitions acquired")
	return nil
}

// pendingAcquisition returns the partitions to load and the entries whose claims
// to load. This entry is one of them, because it may have owned and released a
// partition before.
func (m *Manager) pendingAcquisition() acquisition {
	m.mu.Lock()
	defer m.mu.Unlock()
	pending := acquisition{epochs: make(map[int]int64)}
	if m.isStopped {
		return pending
	}
	var partitions []int
	for _, p := range m.view.assignment.Owned(m.self) {
		if !m.acquired[p] && !m.released[p] {
			pending.epochs[p] = m.view.assignment.Partitions[p].Epoch
			partitions = append(partitions, p)
		}
	}
	pending.formerOwners = append(m.view.assignment.FormerOwners(partitions), m.self)
	return pending
}

// acquire passes the loaded claims to OnAcquire and marks the partition as acquired,
// unless the assignment has changed since the claims were loaded.
func (m *Manager) acquire(partition int, epoch int64, loaded []claims.Stored) {
	m.callbacks.Lock()
	defer m.callbacks.Unlock()
	if !m.stillAssigned(partition, epoch) {
		return
	}
	m.opts.OnAcquire(partition, loaded)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.assignedLocked(partition, epoch) {
		m.acquired[partition] = true
		m.notifyChanged()
	}
}

func (m *Manager) stillAssigned(partition int, epoch int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.assignedLocked(partition, epoch)
}

// assignedLocked reports whether the partition is still assigned to this entry in the
// given epoch and may be acquired. The caller holds mu.
func (m *Manager) assignedLocked(partition int, epoch int64) bool {
	assigned := m.view.assignment.Partitions[partition]
	return !m.isStopped && !m.released[partition] && assigned.Owner == m.self && assigned.Epoch == epoch
}
