package schedules

// process is what a message is delivered to.
type process interface {
	alive() bool
	awake() bool
}

// message is on its way. Its effect is act at the receiver; lost tells the
// sender that the connection broke, which may be said while the message still
// arrives.
type message struct {
	to   process
	what string
	act  func()
	lost func()
	// held messages arrive late: only when they are drawn or let go.
	held bool
}

// once returns a function of which only the first call has an effect, like the
// end of a call.
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
