package intake

import "time"

// reservedShare is the part of the connections that only the listeners of the balancer,
// of the operators and of other processes may use, as a divisor. Callers whose jobs run
// must not keep these out.
const reservedShare = 8

// Clients are the connected clients of a process.
type Clients struct {
	limits Limits
	order  order
	// bytes counts what is buffered for all clients, and leaving the part of those that
	// have given way and not yet released it.
	bytes, leaving int64
	// count is the number of clients that have not given way, and common that of those
	// without access to the reserve.
	count, common int
}

// New returns no clients.
func New(limits Limits) *Clients { return &Clients{limits: limits} }

// Bytes returns what is buffered for all clients.
func (s *Clients) Bytes() int64 { return s.bytes }

// Count returns the number of clients that have not given way.
func (s *Clients) Count() int { return s.count }

// Join adds a client. If a connection is needed for it, Join returns the client that
// gives way, or false if none can. reserved means that the client may use the reserve.
func (s *Clients) Join(c *Client, reserved bool) (*Client, bool) {
	var victim *Client
	switch {
	case !reserved && s.common >= s.limits.Connections-s.limits.Connections/reservedShare:
		victim = s.stalest(func(other *Client) bool { return !other.reserved })
	case s.count >= s.limits.Connections:
		victim = s.stalest(func(*Client) bool { return true })
	default:
		s.add(c, reserved)
		return nil, true
	}
	if victim == nil {
		return nil, false
	}
	s.evict(victim)
	s.add(c, reserved)
	return victim, true
}

func (s *Clients) add(c *Client, reserved bool) {
	c.member, c.reserved = true, reserved
	s.count++
	if !reserved {
		s.common++
	}
	s.order.append(c)
}

// stalest returns the closable client without bytes for the longest time that meets the
// condition, or nil.
func (s *Clients) stalest(condition func(*Client) bool) *Client {
	for c := s.order.first; c != nil; c = c.after {
		if c.closable() && condition(c) {
			return c
		}
	}
	return nil
}

// evict makes the client give way.
func (s *Clients) evict(c *Client) {
	c.evicted = true
	s.leaving += c.bytes
	s.uncount(c)
}

func (s *Clients) uncount(c *Client) {
	s.count--
	if !c.reserved {
		s.common--
	}
}

// Leave removes a client with its bytes. Leaving again does nothing.
func (s *Clients) Leave(c *Client) {
	if !c.member {
		return
	}
	s.Release(c, c.bytes)
	if !c.evicted {
		s.uncount(c)
	}
	c.member = false
	s.order.remove(c)
}

// Received records that bytes have arrived from the client.
func (s *Clients) Received(c *Client) {
	if c.member && s.order.last != c {
		s.order.remove(c)
		s.order.append(c)
	}
}

// Enter records that the client's request has reached a phase. It returns false if the
// client has given way, so that its request must not run.
func (s *Clients) Enter(c *Client, phase Phase, now time.Time) bool {
	if c.evicted {
		return false
	}
	c.phase, c.since = phase, now
	return true
}

// Grow counts bytes that are about to be buffered for the client. If there is no room,
// clients with unfinished requests give way to it, as few as are enough, and are returned.
// A client that has left gets GaveWay.
func (s *Clients) Grow(c *Client, bytes int64) (Growth, []*Client) {
	if c.evicted || !c.member {
		return GaveWay, nil
	}
	if s.bytes+bytes <= s.limits.Bytes {
		s.bytes += bytes
		c.bytes += bytes
		return Granted, nil
	}
	victims, enough := s.victims(c, s.bytes-s.leaving+bytes-s.limits.Bytes)
	if !enough {
		return NoRoom, nil
	}
	for _, victim := range victims {
		s.evict(victim)
	}
	return Awaited, victims
}

// victims returns the clients other than c that have to give way for the missing bytes,
// and whether these are enough.
func (s *Clients) victims(c *Client, missing int64) ([]*Client, bool) {
	var chosen []*Client
	for other := s.order.first; other != nil && missing > 0; other = other.after {
		if other != c && other.bytes > 0 && other.closable() {
			chosen = append(chosen, other)
			missing -= other.bytes
		}
	}
	return chosen, missing <= 0
}

// Release uncounts bytes of the client that are no longer buffered. Those of a
// client that has left are uncounted already.
func (s *Clients) Release(c *Client, bytes int64) {
	if !c.member {
		return
	}
	s.bytes -= bytes
	c.bytes -= bytes
	if c.evicted {
		s.leaving -= bytes
	}
}

// Overdue makes the clients give way whose header or body takes longer than allowed, and
// returns them.
func (s *Clients) Overdue(now time.Time, headerTimeout time.Duration) []*Client {
	var late []*Client
	for c := s.order.first; c != nil; c = c.after {
		if c.evicted || !c.late(now, headerTimeout, s.limits.BodyTimeout) {
			continue
		}
		s.evict(c)
		late = append(late, c)
	}
	return late
}

func (c *Client) late(now time.Time, headerTimeout, bodyTimeout time.Duration) bool {
	switch c.phase {
	case Header:
		return headerTimeout > 0 && now.Sub(c.since) > headerTimeout
	case Body:
		return now.Sub(c.since) > bodyTimeout
	}
	return false
}
