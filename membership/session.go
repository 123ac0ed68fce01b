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
	// lastNumber is that of the last attempt to write the row.
	lastNumber int64
	// pending holds the sending times of attempts whose outcome is not known. One
	// of them may take effect late; its lease still counts from its sending.
	pending map[int64]attempt
	// leavingWritten says that a row marked as leaving was written.
	leavingWritten bool
}

type attempt struct {
	sentAt  time.Time
	leaving bool
}

// beginAttempt numbers an attempt that is sent at sentAt.
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

// recordWritten records that the row now has the given version and carries the given
// attempt. Attempts numbered lower can't take effect any more or were
// overwritten.
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

// dropAttempt records that the attempt surely had no effect.
func (s *session) dropAttempt(number int64) {
	delete(s.pending, number)
}
