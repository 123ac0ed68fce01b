package entry

import (
	"context"
	"sync"
	"time"

	"github.com/figring/figring/model"
)

// ownerWatchInterval is the interval between two looks at the sessions of the
// entries that calls are open to.
const ownerWatchInterval = 100 * time.Millisecond

// ownerWatch ends calls to entries whose session is gone.
type ownerWatch struct {
	members Membership

	mu    sync.Mutex
	calls map[model.Incarnation]*boundCalls
}

// boundCalls are the open calls to one entry.
type boundCalls struct {
	ctx    context.Context
	cancel context.CancelFunc
	open   int
}

func newOwnerWatch(members Membership) *ownerWatch {
	return &ownerWatch{members: members, calls: make(map[model.Incarnation]*boundCalls)}
}

// run looks at the sessions until ctx ends.
func (w *ownerWatch) run(ctx context.Context) {
	ticker := time.NewTicker(ownerWatchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.cancelGone()
		}
	}
}

func (w *ownerWatch) cancelGone() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for incarnation, bound := range w.calls {
		if _, alive := w.members.Live(incarnation); !alive {
			bound.cancel()
		}
	}
}

// bind returns a context that ends with ctx or with the entry's session.
func (w *ownerWatch) bind(ctx context.Context, to model.Incarnation) (context.Context, func()) {
	w.mu.Lock()
	bound, ok := w.calls[to]
	if !ok {
		bound = &boundCalls{}
		bound.ctx, bound.cancel = context.WithCancel(context.Background())
		w.calls[to] = bound
	}
	bound.open++
	w.mu.Unlock()

	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(bound.ctx, cancel)
	return ctx, func() {
		stop()
		cancel()
		w.release(to, bound)
	}
}

func (w *ownerWatch) release(to model.Incarnation, bound *boundCalls) {
	w.mu.Lock()
	defer w.mu.Unlock()
	bound.open--
	if bound.open == 0 {
		bound.cancel()
		delete(w.calls, to)
	}
}
