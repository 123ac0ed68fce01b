package heldjob

import "github.com/figring/figring/work"

// eventAck tracks whether an event of a sidecar may be acknowledged: the sidecar then
// need not keep the event for this entry any more.
type eventAck struct {
	number  uint64
	allowed bool
	// unstored means that this entry has no use for the event and has not stored it.
	unstored bool
}

// leave lets the event be acknowledged as one that is not stored.
func (a *eventAck) leave() {
	a.allowed = true
	a.unstored = true
}

// mustStore reports whether an end has to be written to the job store.
func mustStore(end work.End) bool { return end == work.EndDone || end == work.EndFailed }

// trackEvent records an event, which may be acknowledged when its ack allows it.
func (s *sidecar) trackEvent(number uint64) *eventAck {
	added := &eventAck{number: number}
	s.acks = append(s.acks, added)
	return added
}

// advanceAck acknowledges the oldest events up to the first that is not allowed yet.
func (s *sidecar) advanceAck() {
	for len(s.acks) > 0 && s.acks[0].allowed {
		s.ackedUpTo = s.acks[0].number
		if s.acks[0].unstored {
			s.unstored = append(s.unstored, s.ackedUpTo)
		}
		s.acks = s.acks[1:]
	}
}

// TakeUnstored returns those of the acknowledged events of a sidecar, since the last call,
// that this entry has not stored, though they are the ends of tasks.
func (c *Core) TakeUnstored(name string) []uint64 {
	sidecar, ok := c.sidecars[name]
	if !ok {
		return nil
	}
	unstored := sidecar.unstored
	sidecar.unstored = nil
	return unstored
}

// AckedUpTo returns the number up to which all events of a sidecar are acknowledged:
// the sidecar need not keep them for this entry.
func (c *Core) AckedUpTo(name string) uint64 {
	sidecar, ok := c.sidecars[name]
	if !ok {
		return 0
	}
	sidecar.advanceAck()
	return sidecar.ackedUpTo
}

// SidecarRestarted records that a sidecar was restarted: its events are numbered from
// 1 again.
func (c *Core) SidecarRestarted(name string) {
	sidecar := c.sidecar(name)
	sidecar.acks = nil
	sidecar.unstored = nil
	sidecar.ackedUpTo = 0
}
