package membership

import (
	"context"

	"github.com/figring/figring/claims"
	"github.com/figring/figring/common/pause"
	"github.com/figring/figring/decision/ownership"
	"github.com/figring/figring/model"
)

// batch is a set of partitions that are assigned here and not held yet.
type batch struct {
	epochs  map[int]int64
	formers []model.Incarnation
}

// acquireLoop loads the claims of newly assigned partitions. It is a duty of
// its own, so that a long load delays neither renewals nor observations.
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
		signal(m.acquireNow)
	}
}

func (m *Manager) acquireOnce(ctx context.Context) error {
	wanted := m.wanted()
	if len(wanted.epochs) == 0 {
		return nil
	}
	chosen := func(p int) bool { _, ok := wanted.epochs[p]; return ok }
	since := m.opts.Now().Add(-ownership.FormerOwnerRetention)
	loaded, err := claims.Load(ctx, m.opts.Table, wanted.formers, since, chosen)
	if err != nil {
		return err
	}
	byPartition := make(map[int][]claims.Stored)
	for _, one := range loaded {
		p := one.Key.Partition()
		byPartition[p] = append(byPartition[p], one)
	}
	for p, epoch := range wanted.epochs {
		m.acquire(p, epoch, byPartition[p])
	}
	m.opts.Log.Info().Int("partitions", len(wanted.epochs)).Int("claims", len(loaded)).Msg("partitions acquired")
	return nil
}

// wanted returns what to load. This entry's own claims are among them, because
// it may have owned and released a partition before.
func (m *Manager) wanted() batch {
	m.mu.Lock()
	defer m.mu.Unlock()
	found := batch{epochs: make(map[int]int64)}
	if m.ended {
		return found
	}
	var partitions []int
	for _, p := range m.view.assignment.Owned(m.self) {
		if !m.held[p] && !m.blocked[p] {
			found.epochs[p] = m.view.assignment.Partitions[p].Epoch
			partitions = append(partitions, p)
		}
	}
	found.formers = append(m.view.assignment.FormerOwners(partitions), m.self)
	return found
}

// acquire hands the partition over unless the assignment has changed since its
// claims were loaded.
func (m *Manager) acquire(partition int, epoch int64, loaded []claims.Stored) {
	m.callbacks.Lock()
	defer m.callbacks.Unlock()
	if !m.stillWanted(partition, epoch) {
		return
	}
	m.opts.OnAcquire(partition, loaded)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.assignedHere(partition, epoch) {
		m.held[partition] = true
		m.notify()
	}
}

func (m *Manager) stillWanted(partition int, epoch int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.assignedHere(partition, epoch)
}

// assignedHere is called with mu held.
func (m *Manager) assignedHere(partition int, epoch int64) bool {
	part := m.view.assignment.Partitions[partition]
	return !m.ended && !m.blocked[partition] && part.Owner == m.self && part.Epoch == epoch
}
