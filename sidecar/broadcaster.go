package sidecar

import "sync"

// broadcaster wakes every goroutine that waits for a change of state.
type broadcaster struct {
	mu sync.Mutex
	ch chan struct{}
}

func newBroadcaster() *broadcaster { return &broadcaster{ch: make(chan struct{})} }

// wait returns a channel that is closed by the next call of broadcast.
func (b *broadcaster) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ch
}

func (b *broadcaster) broadcast() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.ch)
	b.ch = make(chan struct{})
}
