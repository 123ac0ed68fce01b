package classload

import (
	"time"

	"github.com/figring/figring/work"
)

// passage is what lets a job pass.
type passage int

const (
	// passNone means that the job is shed.
	passNone passage = iota
	// passFreely means that the class gets its whole demand.
	passFreely
	// passPromised means that the job was told to retry now.
	passPromised
	// passBucket means that the bucket of the class is not empty.
	passBucket
	// passSpare means that the job needs no more than the spare capacity.
	passSpare
)

// judge decides whether a job may be placed, and changes nothing.
func (t *Tracker) judge(now time.Time, state *classState, id work.JobID, milliCPU int64) passage {
	service := t.services[state.class.Service]
	switch {
	case !service.scarce, !state.limited():
		return passFreely
	case state.promises.holds(now, id):
		return passPromised
	case state.bucket.levelAt(now) > 0:
		return passBucket
	case service.spare >= float64(milliCPU):
		return passSpare
	}
	return passNone
}
