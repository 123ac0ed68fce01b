package sidecar

// inboxLimit is the number of messages that wait for the owner of the state.
const inboxLimit = 256

// mailbox is the way to the goroutine that owns the state.
type mailbox struct {
	inbox chan message
	// done is closed when the owner has ended. Whoever waits for an answer
	// gives up then.
	done chan struct{}
}

func newMailbox() *mailbox {
	return &mailbox{inbox: make(chan message, inboxLimit), done: make(chan struct{})}
}

func (m *mailbox) send(one message) error {
	select {
	case m.inbox <- one:
		return nil
	case <-m.done:
		return ErrStopped
	}
}

// ask sends one and waits for its answer.
func ask[T any](m *mailbox, one message, answer <-chan T) (T, error) {
	var none T
	if err := m.send(one); err != nil {
		return none, err
	}
	select {
	case got := <-answer:
		return got, nil
	case <-m.done:
		return none, ErrStopped
	}
}
