package membership

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/figring/figring/decision/ownership"
	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
	"github.com/figring/figring/wire"
)

// Manager maintains this entry's session and its partitions. Run does the work; the
// other methods may be called at any time from any goroutine.
type Manager struct {
	opts Options
	self model.Incarnation
	// monitor is used only by observeOnce, which needs no lock for it.
	monitor *ownership.Monitor

	renewNow   chan struct{}
	observeNow chan struct{}
	acquireNow chan struct{}
	runDone    chan struct{}

	// callbacks serializes OnAcquire and OnRelease. It is locked before mu.
	callbacks sync.Mutex

	mu      sync.Mutex
	session session
	view    view
	// acquired holds the partitions that are assigned to this entry and whose
	// claims are loaded.
	acquired map[int]bool
	// released holds the partitions that were released for a transfer. They are not
	// acquired again before it is known that the transfer did not happen.
	released map[int]bool
	// inDoubtVersion is the version of the assignment that a commit of unknown outcome
	// required. That commit may take effect while the row has this version.
	inDoubtVersion int64
	inDoubt        bool
	leaving        bool
	isStopped      bool
	cancel         context.CancelFunc
	// changed is closed and replaced whenever a field from session on changes.
	changed chan struct{}
}

// New returns a manager that does nothing until Run.
func New(opts Options) *Manager {
	return &Manager{
		opts:       opts.withDefaults(),
		self:       opts.Self.Incarnation,
		monitor:    ownership.NewMonitor(),
		renewNow:   make(chan struct{}, 1),
		observeNow: make(chan struct{}, 1),
		acquireNow: make(chan struct{}, 1),
		runDone:    make(chan struct{}),
		session:    session{pending: make(map[int64]attempt)},
		acquired:   make(map[int]bool),
		released:   make(map[int]bool),
		changed:    make(chan struct{}),
	}
}

// Run registers the session and renews it until ctx ends or Close is called, and then
// returns nil. It returns ErrFenced if the session was taken over. It must be called
// only once.
func (m *Manager) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !m.start(cancel) {
		return nil
	}
	defer close(m.runDone)
	if err := m.register(ctx); err != nil {
		return onlyFenced(err)
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.runPeriodically(ctx, model.SessionRenewal, m.renewNow, m.renewOnce) })
	group.Go(func() error { return m.runPeriodically(ctx, observeInterval, m.observeNow, m.observeOnce) })
	group.Go(func() error { return m.acquireLoop(ctx) })
	return onlyFenced(group.Wait())
}

func onlyFenced(err error) error {
	if errors.Is(err, ErrFenced) {
		return err
	}
	return nil
}

func (m *Manager) start(cancel context.CancelFunc) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isStopped {
		return false
	}
	m.cancel = cancel
	return true
}

// runPeriodically calls step at once, at each interval and at each wake signal, until
// ctx ends or step returns an error.
func (m *Manager) runPeriodically(ctx context.Context, interval time.Duration, wake <-chan struct{}, step func(context.Context) error) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		if err := step(ctx); err != nil {
			return err
		}
		select {
		case <-ticker.C:
		case <-wake:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Refresh requests a read of the table, for example because it has changed. Requests
// that arrive during a read share the next one.
func (m *Manager) Refresh() {
	trySend(m.observeNow)
}

func trySend(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// notifyChanged wakes all goroutines that wait for a change. The caller holds mu.
func (m *Manager) notifyChanged() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Lease returns the end of this entry's lease, or the zero time if it has none.
func (m *Manager) Lease() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.session.lease.Valid(m.opts.Now()) {
		return time.Time{}
	}
	return m.session.lease.Expiry()
}

// Fence returns the condition that every claim write must include. Before the
// registration it is a condition that never holds.
func (m *Manager) Fence() store.Condition {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.session.registered {
		return store.Condition{Key: fenceKey(m.self), Version: -1}
	}
	return store.Condition{Key: fenceKey(m.self), Version: m.session.fenceVersion}
}

// Owns reports whether this entry may decide about keys of the partition now: the
// partition is assigned to it, the claims of former owners are loaded, and the lease is
// valid. The result may be outdated after a pause of the process, so the fence condition
// of a claim and the permits repeat the check where the effect takes place.
func (m *Manager) Owns(partition int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.acquired[partition] && m.session.lease.Valid(m.opts.Now())
}

// Owner returns the entry to which the partition is assigned, if its session is alive.
func (m *Manager) Owner(partition int) (wire.EntryInfo, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	row, ok := m.view.live[m.view.assignment.Partitions[partition].Owner]
	return row.Entry, ok
}

// Live returns the entry of the incarnation if its session was alive at the
// last read.
func (m *Manager) Live(incarnation model.Incarnation) (wire.EntryInfo, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	row, ok := m.view.live[incarnation]
	return row.Entry, ok
}

// Entries returns the live entries in order of incarnation, including entries that are
// leaving, and a version that is equal for equal lists. The caller must not modify the
// list.
func (m *Manager) Entries() ([]wire.EntryInfo, int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.entries, m.view.entriesVersion
}

// Ready reports whether the session is registered, the lease is valid and the table has
// been read.
func (m *Manager) Ready() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.session.lease.Valid(m.opts.Now()) && m.view.loaded
}

// stop permanently invalidates the lease and the ownership of every partition. It
// reports whether this call was the first.
func (m *Manager) stop() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isStopped {
		return false
	}
	m.isStopped = true
	m.session.lease.Invalidate()
	clear(m.acquired)
	m.notifyChanged()
	return true
}

// stopFenced stops the manager because its session was taken over.
func (m *Manager) stopFenced() error {
	if m.stop() {
		m.opts.Log.Error().Str("entry", string(m.self)).Msg("session was taken over")
		m.opts.OnFenced()
	}
	return ErrFenced
}
