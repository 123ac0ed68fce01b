package entry

import (
	"context"
	"sync"
	"time"

	"github.com/figring/figring/model"
)

// sessionCheckInterval is the interval at which the sessions of the entries with
// open calls are checked.
const sessionCheckInterval = 100 * time.Millisecond

// sessionWatcher cancels calls to entries whose session has ended.
type sessionWatcher struct {
	members Membership

	mu    sync.Mutex
	calls map[model.Incarnation]*entryCalls
}

// entryCalls holds the open calls to one entry.
type entryCalls struct {
	ctx    context.Context
	cancel context.CancelFunc
	open   int
}

func newSessionWatcher(members Membership) *sessionWatcher {
	return &sessionWatcher{members: members, calls: make(map[model.Incarnation]*entryCalls)}
}

// run checks the sessions until ctx ends.
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
	for incarnation, sessionCalls := range w.calls {
		if _, alive := w.members.Live(incarnation); !alive {
			sessionCalls.cancel()
		}
	}
}

// bind returns a context that ends with ctx or with the session of the entry, and
// a function that the caller must call when its call has ended.
func (w *sessionWatcher) bind(ctx context.Context, entry model.Incarnation) (context.Context, func()) {
	w.mu.Lock()
	sessionCalls, ok := w.calls[entry]
	if !ok {
		sessionCalls = &entryCalls{}
		sessionCalls.ctx, sessionCalls.cancel = context.WithCancel(context.Background())
		w.calls[entry] = sessionCalls
	}
	sessionCalls.open++
	w.mu.Unlock()

	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(sessionCalls.ctx, cancel)
	return ctx, func() {
		stop()
		cancel()
		w.release(entry, sessionCalls)
	}
}

func (w *sessionWatcher) release(entry model.Incarnation, sessionCalls *entryCalls) {
	w.mu.Lock()
	defer w.mu.Unlock()
	sessionCalls.open--
	if sessionCalls.open == 0 {
		sessionCalls.cancel()
		delete(w.calls, entry)
	}
}
