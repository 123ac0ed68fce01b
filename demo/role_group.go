package demo

import (
	"context"
	"errors"
	"sync"
)

// roleGroup runs several roles of one kind, each in its own goroutine, under a
// shared context.
type roleGroup struct {
	ctx       context.Context
	cancel    context.CancelFunc
	waitGroup sync.WaitGroup

	mu  sync.Mutex
	err error
}

func newRoleGroup() *roleGroup {
	ctx, cancel := context.WithCancel(context.Background())
	return &roleGroup{ctx: ctx, cancel: cancel}
}

// run starts role in a new goroutine. Its context is cancelled by stop.
func (r *roleGroup) run(role func(context.Context) error) {
	r.waitGroup.Go(func() {
		err := role(r.ctx)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.err = errors.Join(r.err, err)
	})
}

// stop cancels the context of the roles, waits until all have returned and
// returns their joined errors.
func (r *roleGroup) stop() error {
	r.cancel()
	r.waitGroup.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}
