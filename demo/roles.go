package demo

import (
	"context"
	"errors"
	"sync"
)

// roles are running roles of one kind.
type roles struct {
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup

	mu  sync.Mutex
	err error
}

func newRoles() *roles {
	ctx, cancel := context.WithCancel(context.Background())
	return &roles{ctx: ctx, cancel: cancel}
}

// run runs a role until stop.
func (r *roles) run(role func(context.Context) error) {
	r.wait.Go(func() {
		err := role(r.ctx)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.err = errors.Join(r.err, err)
	})
}

// stop asks for the ordered stop of every role and waits for its end.
func (r *roles) stop() error {
	r.cancel()
	r.wait.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}
