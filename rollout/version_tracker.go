package rollout

import (
	"time"

	"github.com/figring/figring/model"
)

// inForceDelay is the time from this process's first read of a version until no process
// acts on an older one. Any read in another process that returned an older version was
// sent before the newer version was accepted, so before this process read it.
const inForceDelay = model.BundleTTL + model.ClockMargin

// firstRead is a version and the time at which this process first read it.
type firstRead struct {
	version int64
	at      time.Time
}

// versionTracker tracks which versions are in force in all processes.
type versionTracker struct {
	// pending holds the later versions in the order of their first reads.
	pending []firstRead
	// inForceEverywhere is the highest version that is known to be in force everywhere,
	// or -1.
	inForceEverywhere int64
}

func (s *versionTracker) add(version int64, at time.Time) {
	s.update(at)
	s.pending = append(s.pending, firstRead{version: version, at: at})
}

// update advances inForceEverywhere to the latest version that was first read at least
// inForceDelay ago, and removes the versions up to it from pending.
func (s *versionTracker) update(now time.Time) {
	for len(s.pending) > 0 && now.Sub(s.pending[0].at) >= inForceDelay {
		s.inForceEverywhere = s.pending[0].version
		s.pending = s.pending[1:]
	}
}
