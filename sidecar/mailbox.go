package sidecar

// mailboxCapacity is the maximum number of messages that wait for the event loop.
const mailboxCapacity = 256

// mailbox carries messages to the event loop.
type mailbox struct {
	messages chan message
	// done is closed when the event loop has ended. Senders and waiters then get
	// ErrStopped.
	done chan struct{}
}

func newMailbox() *mailbox {
	return &mailbox{messages: make(chan message, mailboxCapacity), done: make(chan struct{})}
}

func (m *mailbox) send(msg message) error {
	select {
	case m.messages <- msg:
		return nil
	case <-m.done:
		return ErrStopped
	}
}

// ask sends msg and waits for the reply on replyTo.
func ask[T any](m *mailbox, msg message, replyTo <-chan T) (T, error) {
	var zero T
	if err := m.send(msg); err != nil {
		return zero, err
	}
	select {
	case reply := <-replyTo:
		return reply, nil
	case <-m.done:
		return zero, ErrStopped
	}
}
