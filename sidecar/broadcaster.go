package sidecar

import "sync"

// broadcaster wakes every goroutine that waits for a change of state.
type broadcaster struct {
	mu sync.Mutex
	ch chan struct{}
}

func newBroadcaster() *broadcaster { return &broadcaster{ch: make(chan struct{})} }

// wait returns a channel that is closed at the next fire.
func (s *broadcaster) wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ch
}

func (s *broadcaster) broadcast() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.ch)
	s.ch = make(chan struct{})
}
