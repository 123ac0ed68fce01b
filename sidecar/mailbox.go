package sidecar

// mailboxCapacity is the number of messages that wait for the owner of the state.
const mailboxCapacity = 256

// mailbox is the way to the goroutine that owns the state.
type mailbox struct {
	messages chan message
	// done is closed when the owner has ended. Whoever waits for an answer
	// gives up then.
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

// ask sends one and waits for its answer.
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
