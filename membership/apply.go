package membership

import (
	"context"

	"github.com/figring/figring/common/pause"
	"github.com/figring/figring/decision/ownership"
	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
)

// apply commits a proposal. Partitions to be transferred are released first, so that
// their new owner reads every claim that was made in them.
func (m *Manager) apply(ctx context.Context, snapshot tableSnapshot, live []ownership.Session, proposal ownership.Proposal) {
	transferred := transferredPartitions(&snapshot.assignment, &proposal.Next, m.self)
	m.release(transferred)
	rewrite := m.updateReleased(transferred)
	if !proposal.Changed && len(proposal.Fenced) == 0 && !rewrite {
		trySend(m.acquireNow)
		return
	}
	versions, err := m.commit(ctx, m.transaction(snapshot.version, proposal))
	switch {
	case err == nil:
		m.logTakeover(proposal)
		m.publish(proposal.Next, versions[0], liveRows(snapshot.rows, live))
	case knownNotApplied(err):
		m.refreshAfterPause(ctx)
	default:
		m.markInDoubt(snapshot.version)
		m.refreshAfterPause(ctx)
	}
	trySend(m.acquireNow)
}

// refreshAfterPause waits for retryInterval and then requests a read of the table.
func (m *Manager) refreshAfterPause(ctx context.Context) {
	if pause.For(ctx, retryInterval) == nil {
		m.Refresh()
	}
}

// transferredPartitions returns the partitions of self that next assigns to another
// entry.
func transferredPartitions(current, next *ownership.Assignment, self model.Incarnation) []int {
	var transferred []int
	for _, p := range current.Owned(self) {
		if next.Partitions[p].Owner != self {
			transferred = append(transferred, p)
		}
	}
	return transferred
}

// release stops owning the partitions and calls OnRelease for each, which waits until
// the outcome of every pending claim write is known.
func (m *Manager) release(partitions []int) {
	m.callbacks.Lock()
	defer m.callbacks.Unlock()
	for _, p := range m.markReleased(partitions) {
		m.opts.OnRelease(p)
	}
}

// markReleased marks the partitions as released and returns those that were not
// released before.
func (m *Manager) markReleased(partitions []int) []int {
	m.mu.Lock()
	defer m.mu.Unlock()
	var added []int
	for _, p := range partitions {
		if !m.released[p] {
			added = append(added, p)
		}
		m.released[p] = true
		delete(m.acquired, p)
	}
	return added
}

// updateReleased lets released partitions that are no longer to be transferred be
// acquired again. While an earlier commit that transferred them may still take effect,
// they stay released and it reports that the assignment row must be rewritten: any
// write under the same version condition settles the outcome of the earlier commit.
func (m *Manager) updateReleased(transferred []int) (rewrite bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.inDoubt {
		return true
	}
	clear(m.released)
	for _, p := range transferred {
		m.released[p] = true
	}
	return false
}

// markInDoubt records that a commit that required this version of the assignment may
// still take effect.
func (m *Manager) markInDoubt(version int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inDoubt = true
	m.inDoubtVersion = version
}

// transaction returns the commit of a proposal. Its conditions cover everything that
// the proposal depends on: the version of the assignment, this entry's own fence, the
// versions of the expired sessions, and that owners without a session still have none.
func (m *Manager) transaction(version int64, proposal ownership.Proposal) store.Txn {
	txn := store.Txn{
		Conditions: []store.Condition{{Key: AssignmentKey, Version: version}, m.Fence()},
		Writes:     []store.Write{{Key: AssignmentKey, Value: encodeAssignment(&proposal.Next)}},
	}
	for _, owner := range proposal.OwnersWithoutSession {
		txn.Conditions = append(txn.Conditions, store.Condition{Key: sessionKey(owner)})
	}
	for _, expired := range proposal.Fenced {
		key := sessionKey(expired.Incarnation)
		txn.Conditions = append(txn.Conditions, store.Condition{Key: key, Version: expired.Version})
		txn.Writes = append(txn.Writes,
			store.Write{Key: key, Delete: true},
			store.Write{Key: fenceKey(expired.Incarnation), Delete: true})
	}
	return txn
}

func (m *Manager) logTakeover(proposal ownership.Proposal) {
	for _, expired := range proposal.Fenced {
		m.opts.Log.Warn().Str("entry", string(expired.Incarnation)).Msg("took over a lapsed session")
	}
}
