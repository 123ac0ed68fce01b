package membership

import (
	"time"

	"github.com/figring/figring/decision/ownership"
	"github.com/figring/figring/model"
)

// session is the state of this entry's own session and fence rows.
type session struct {
	registered   bool
	version      int64
	fenceVersion int64
	lease        ownership.Lease
	// lastNumber is the number of the last attempt to write the row.
	lastNumber int64
	// pending holds the attempts whose outcome is unknown, by number. An attempt may
	// take effect late; its lease still counts from its sending time.
	pending map[int64]attempt
	// leavingWritten is set once a row marked as leaving is known to be written.
	leavingWritten bool
}

// attempt is one write of the session row.
type attempt struct {
	sentAt  time.Time
	leaving bool
}

// beginAttempt returns the number of a new attempt that is sent at sentAt. It drops
// pending attempts that are too old to extend the lease.
func (s *session) beginAttempt(sentAt time.Time, leaving bool) int64 {
	s.lastNumber++
	for number, old := range s.pending {
		if sentAt.Sub(old.sentAt) > model.SessionTTL {
			delete(s.pending, number)
		}
	}
	s.pending[s.lastNumber] = attempt{sentAt: sentAt, leaving: leaving}
	return s.lastNumber
}

// recordWritten records that the attempt with the given number wrote the given version
// of the row. Attempts with lower numbers were overwritten or can no longer take effect.
func (s *session) recordWritten(number, version int64) {
	if version < s.version {
		return
	}
	s.version = version
	if written, ok := s.pending[number]; ok {
		s.lease.Renewed(written.sentAt)
		s.leavingWritten = s.leavingWritten || written.leaving
	}
	for old := range s.pending {
		if old <= number {
			delete(s.pending, old)
		}
	}
}

// dropAttempt removes an attempt that is known to have had no effect.
func (s *session) dropAttempt(number int64) {
	delete(s.pending, number)
}
