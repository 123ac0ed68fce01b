package placement

import (
	"time"

	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// Candidate is a sidecar as the entry sees it.
type Candidate struct {
	Name  string
	Zone  string
	State session.State
	// StateAt is when the state arrived.
	StateAt time.Time
	// unseen are the orders that the state does not show yet.
	unseen []unseenOrder
}

// unseenOrder is an order that was sent with a request of the number.
type unseenOrder struct {
	number uint64
	need   work.Room
	slack  time.Duration
}

// Sent takes note of an order that is on its way.
func (c *Candidate) Sent(number uint64, need work.Room, slack time.Duration) {
	c.unseen = append(c.unseen, unseenOrder{number, need, slack})
}

// Update takes a newer state.
func (c *Candidate) Update(state session.State, at time.Time) {
	c.State = state
	c.StateAt = at
	kept := c.unseen[:0]
	for _, order := range c.unseen {
		if order.number > state.LastStartNumber {
			kept = append(kept, order)
		}
	}
	c.unseen = kept
}

// Reset forgets orders under way: the session has ended.
func (c *Candidate) Reset() { c.unseen = nil }

// free returns the room without what is under way.
func (c *Candidate) free() work.Room {
	free := c.State.Free
	for _, order := range c.unseen {
		free = free.Sub(order.need)
	}
	return free
}

// wait estimates the time until the need has room, when it has to start within
// the slack: what is due before it goes first.
func (c *Candidate) wait(need work.Room, slack time.Duration) time.Duration {
	lacking := need.Sub(c.State.Free).MilliCPU + c.State.Queued.Ahead(slack)
	for _, order := range c.unseen {
		if order.slack <= slack || lacking+c.State.Queued.Total() <= 0 {
			lacking += order.need.MilliCPU
		}
	}
	if lacking <= 0 {
		return 0
	}
	return time.Duration(float64(c.State.Turnover) * float64(lacking) / float64(c.State.Minion.Capacity.MilliCPU))
}

// Unsend takes the orders of a request back that was not sent after all.
func (c *Candidate) Unsend(number uint64) {
	kept := c.unseen[:0]
	for _, order := range c.unseen {
		if order.number != number {
			kept = append(kept, order)
		}
	}
	c.unseen = kept
}
