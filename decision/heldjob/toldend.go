package heldjob

import (
	"time"

	"github.com/figring/figring/session"
)

// toldEndRetention is how long the ends that a sidecar has told are kept, counted to the
// newest one. The sidecar has the minion forget most ends within some 0.3 s; only these
// matter if it is restarted.
const toldEndRetention = 3 * time.Second

// toldEnd is the end of a run of a stored job that a sidecar has told this entry.
type toldEnd struct {
	end session.TaskEnd
	// ack is that of the event that told the end. It is allowed, and not unstored, once
	// the end is in the job store.
	ack *eventAck
	at  time.Time
}

// recordTold records an end that the sidecar has told.
func (s *sidecar) recordTold(now time.Time, end session.TaskEnd, ack *eventAck) {
	for len(s.told) > 0 && now.Sub(s.told[0].at) > toldEndRetention {
		s.told = s.told[1:]
	}
	s.told = append(s.told, toldEnd{end: end, ack: ack, at: now})
}

// StoredEnds returns the latest ends that the sidecar, or an earlier process of it, has
// told this entry and that are in the job store.
func (c *Core) StoredEnds(name string) []session.TaskEnd {
	sidecar, ok := c.sidecars[name]
	if !ok {
		return nil
	}
	var stored []session.TaskEnd
	for _, told := range sidecar.told {
		if told.ack.allowed && !told.ack.unstored {
			stored = append(stored, told.end)
		}
	}
	return stored
}
