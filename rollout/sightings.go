package rollout

import (
	"time"

	"github.com/figring/figring/model"
)

// inForceAfter is the time from the first read of a version until nothing in
// the system rests on an older one: other processes' reads were sent before
// that version was accepted, so before this process read it.
const inForceAfter = model.BundleTTL + model.ClockMargin

// sighting is the time at which a version was first read.
type sighting struct {
	version int64
	at      time.Time
}

// sightings holds the versions that may not be in force everywhere yet.
type sightings struct {
	recent []sighting
	// settled is the highest version known to be in force everywhere, or -1.
	settled int64
}

func (s *sightings) add(version int64, at time.Time) {
	s.settle(at)
	s.recent = append(s.recent, sighting{version: version, at: at})
}

// settle moves the versions whose time is over to settled.
func (s *sightings) settle(now time.Time) {
	for len(s.recent) > 0 && now.Sub(s.recent[0].at) >= inForceAfter {
		s.settled = s.recent[0].version
		s.recent = s.recent[1:]
	}
}
