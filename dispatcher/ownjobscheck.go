package dispatcher

import "sync/atomic"

// ownJobsCheck records that jobs of this entry have to be compared with the job store: another
// entry may have ended some. That stays so until a comparison has read all that it needs.
type ownJobsCheck struct {
	// requested counts the requests, and settled is the count that the newest complete
	// comparison has answered.
	requested, settled atomic.Uint64
	// changed receives a value after a request.
	changed chan struct{}
}

func newOwnJobsCheck() *ownJobsCheck { return &ownJobsCheck{changed: make(chan struct{}, 1)} }

// request asks for a comparison that begins after the request.
func (c *ownJobsCheck) request() {
	c.requested.Add(1)
	select {
	case c.changed <- struct{}{}:
	default:
		// The value that is there asks for a comparison that has not begun.
	}
}

// due reports whether a request is not answered yet.
func (c *ownJobsCheck) due() bool { return c.settled.Load() != c.requested.Load() }

// begin returns what to pass to settle once a comparison that begins now is complete.
func (c *ownJobsCheck) begin() uint64 { return c.requested.Load() }

// settle records that a comparison was complete.
func (c *ownJobsCheck) settle(begun uint64) { c.settled.Store(begun) }
