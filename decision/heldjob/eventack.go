package heldjob

import "github.com/figring/figring/work"

// note is an event of a sidecar. It is settled once nothing need be kept of it
// for this entry.
type note struct {
	number  uint64
	settled bool
}

// decides reports whether an end has to be stored.
func decides(end work.End) bool { return end == work.EndDone || end == work.EndFailed }

// told takes note of an event, which has to be stored first if asked for.
func (s *sidecar) told(number uint64, unsettled bool) *note {
	added := &note{number: number, settled: !unsettled}
	s.notes = append(s.notes, added)
	return added
}

// advance moves past the settled events.
func (s *sidecar) advance() {
	for len(s.notes) > 0 && s.notes[0].settled {
		s.noted = s.notes[0].number
		s.notes = s.notes[1:]
	}
}

// AckedUpTo returns the number up to which a sidecar need not keep events for
// this entry.
func (c *Core) AckedUpTo(name string) uint64 {
	known, ok := c.sidecars[name]
	if !ok {
		return 0
	}
	known.advance()
	return known.noted
}

// SidecarRestarted takes note that a sidecar has started anew: its events are numbered
// from 1 again.
func (c *Core) SidecarRestarted(name string) {
	known := c.sidecar(name)
	known.notes = nil
	known.noted = 0
}
