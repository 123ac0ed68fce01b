package schedules

// process is the receiver of a message.
type process interface {
	alive() bool
	awake() bool
}

// message is a message in transit. On delivery, act runs at the receiver. lost
// tells the sender that the connection broke, which may happen although the
// message still arrives.
type message struct {
	to   process
	what string
	act  func()
	lost func()
	// held marks a delayed message, which is delivered only when it is drawn or
	// released.
	held bool
}

// once wraps end so that only the first call has an effect, like the completion
// of an RPC.
func once[T any](end func(T)) func(T) {
	called := false
	return func(value T) {
		if called {
			return
		}
		called = true
		end(value)
	}
}

func (m message) breakOff() {
	if m.lost != nil {
		m.lost()
	}
}
