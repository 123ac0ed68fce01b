package entry

import (
	"context"
	"sync"
	"time"

	"github.com/figring/figring/model"
)

// ownerWatchInterval is the interval between two looks at the sessions of the
// entries that calls are open to.
const sessionCheckInterval = 100 * time.Millisecond

// ownerWatch ends calls to entries whose session is gone.
type sessionWatcher struct {
	members Membership

	mu    sync.Mutex
	calls map[model.Incarnation]*entryCalls
}

// boundCalls are the open calls to one entry.
type entryCalls struct {
	ctx    context.Context
	cancel context.CancelFunc
	open   int
}

func newSessionWatcher(members Membership) *sessionWatcher {
	return &sessionWatcher{members: members, calls: make(map[model.Incarnation]*entryCalls)}
}

// run looks at the sessions until ctx ends.
func (w *sessionWatcher) run(ctx context.Context) {
	ticker := time.NewTicker(sessionCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.cancelCallsToEnded()
		}
	}
}

func (w *sessionWatcher) cancelCallsToEnded() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for incarnation, calls := range w.calls {
		if _, alive := w.members.Live(incarnation); !alive {
			calls.cancel()
		}
	}
}

// bind returns a context that ends with ctx or with the entry's session.
func (w *sessionWatcher) bind(ctx context.Context, entry model.Incarnation) (context.Context, func()) {
	w.mu.Lock()
	calls, ok := w.calls[entry]
	if !ok {
		calls = &entryCalls{}
		calls.ctx, calls.cancel = context.WithCancel(context.Background())
		w.calls[entry] = calls
	}
	calls.open++
	w.mu.Unlock()

	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(calls.ctx, cancel)
	return ctx, func() {
		stop()
		cancel()
		w.release(entry, calls)
	}
}

func (w *sessionWatcher) release(entry model.Incarnation, calls *entryCalls) {
	w.mu.Lock()
	defer w.mu.Unlock()
	calls.open--
	if calls.open == 0 {
		calls.cancel()
		delete(w.calls, entry)
	}
}
