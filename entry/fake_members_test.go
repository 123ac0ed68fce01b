package entry

import (
	"context"
	"sync"
	"time"

	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
	"github.com/figring/figring/wire"
)

// fakeMembers is a sessionManager whose state is set by the test.
type fakeMembers struct {
	mu           sync.Mutex
	leaseEnd     time.Time
	owns         bool
	owner        wire.EntryInfo
	live         map[model.Incarnation]wire.EntryInfo
	fence        store.Condition
	refreshCount int
}

var _ sessionManager = (*fakeMembers)(nil)

func (m *fakeMembers) set(change func(*fakeMembers)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(m)
}

func (m *fakeMembers) Lease() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaseEnd
}

func (m *fakeMembers) Owns(int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owns
}

func (m *fakeMembers) Owner(int) (wire.EntryInfo, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owner, m.owner.Incarnation != ""
}

func (m *fakeMembers) Live(incarnation model.Incarnation) (wire.EntryInfo, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	info, ok := m.live[incarnation]
	return info, ok
}

func (m *fakeMembers) Entries() ([]wire.EntryInfo, int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []wire.EntryInfo
	for _, info := range m.live {
		list = append(list, info)
	}
	return list, 1
}

func (m *fakeMembers) Refresh() { m.set(func(m *fakeMembers) { m.refreshCount++ }) }

func (m *fakeMembers) Ready() bool { return true }

func (m *fakeMembers) Fence() store.Condition {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fence
}

func (m *fakeMembers) Run(context.Context) error   { return nil }
func (m *fakeMembers) Leave(context.Context) error { return nil }
func (m *fakeMembers) Close(context.Context) error { return nil }
