package heldjob

import "github.com/figring/figring/work"

// eventAck is an event of a sidecar. It is settled once nothing need be kept of it
// for this entry.
type eventAck struct {
	number  uint64
	allowed bool
}

// mustStore reports whether an end has to be stored.
func mustStore(end work.End) bool { return end == work.EndDone || end == work.EndFailed }

// trackEvent takes note of an event, which has to be stored first if asked for.
func (s *sidecar) trackEvent(number uint64, unsettled bool) *eventAck {
	added := &eventAck{number: number, allowed: !unsettled}
	s.acks = append(s.acks, added)
	return added
}

// advanceAck moves past the settled events.
func (s *sidecar) advanceAck() {
	for len(s.acks) > 0 && s.acks[0].allowed {
		s.ackedUpTo = s.acks[0].number
		s.acks = s.acks[1:]
	}
}

// AckedUpTo returns the number up to which a sidecar need not keep events for
// this entry.
func (c *Core) AckedUpTo(name string) uint64 {
	sidecar, ok := c.sidecars[name]
	if !ok {
		return 0
	}
	sidecar.advanceAck()
	return sidecar.ackedUpTo
}

// SidecarRestarted takes note that a sidecar has started anew: its events are numbered
// from 1 again.
func (c *Core) SidecarRestarted(name string) {
	sidecar := c.sidecar(name)
	sidecar.acks = nil
	sidecar.ackedUpTo = 0
}
