package membership

import (
	"time"

	"github.com/figring/figring/decision/ownership"
	"github.com/figring/figring/model"
)

// session is the holder's state of its own rows.
type session struct {
	registered   bool
	version      int64
	fenceVersion int64
	lease        ownership.Lease
	// number is that of the last attempt to write the row.
	number int64
	// open holds the sending times of attempts whose outcome is not known. One
	// of them may take effect late; its lease still counts from its sending.
	open map[int64]attempt
	// leavingKnown says that a row marked as leaving was written.
	leavingKnown bool
}

type attempt struct {
	sentAt  time.Time
	leaving bool
}

// begin numbers an attempt that is sent at sentAt.
func (s *session) begin(sentAt time.Time, leaving bool) int64 {
	s.number++
	for number, old := range s.open {
		if sentAt.Sub(old.sentAt) > model.SessionTTL {
			delete(s.open, number)
		}
	}
	s.open[s.number] = attempt{sentAt: sentAt, leaving: leaving}
	return s.number
}

// took records that the row now has the given version and carries the given
// attempt. Attempts numbered lower can't take effect any more or were
// overwritten.
func (s *session) took(number, version int64) {
	if version < s.version {
		return
	}
	s.version = version
	if one, ok := s.open[number]; ok {
		s.lease.Renewed(one.sentAt)
		s.leavingKnown = s.leavingKnown || one.leaving
	}
	for old := range s.open {
		if old <= number {
			delete(s.open, old)
		}
	}
}

// failed records that the attempt surely had no effect.
func (s *session) failed(number int64) {
	delete(s.open, number)
}
