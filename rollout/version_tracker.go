package rollout

import (
	"time"

	"github.com/figring/figring/model"
)

// inForceDelay is the time from the first read of a version until nothing in
// the system rests on an older one: other processes' reads were sent before
// that version was accepted, so before this process read it.
const inForceDelay = model.BundleTTL + model.ClockMargin

// firstRead is the time at which a version was first read.
type firstRead struct {
	version int64
	at      time.Time
}

// versionTracker holds the versions that may not be in force everywhere yet.
type versionTracker struct {
	pending []firstRead
	// inForceEverywhere is the highest version known to be in force everywhere, or -1.
	inForceEverywhere int64
}

func (s *versionTracker) add(version int64, at time.Time) {
	s.update(at)
	s.pending = append(s.pending, firstRead{version: version, at: at})
}

// update moves the versions whose time is over to settled.
func (s *versionTracker) update(now time.Time) {
	for len(s.pending) > 0 && now.Sub(s.pending[0].at) >= inForceDelay {
		s.inForceEverywhere = s.pending[0].version
		s.pending = s.pending[1:]
	}
}
