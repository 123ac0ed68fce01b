package adoption

import (
	"time"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// Sidecar is what one sidecar of the table answered.
type Sidecar struct {
	// Reply is nil when the sidecar did not answer.
	Reply *wire.LookupReply
	// LeftAt is the time of its ordered stop, and zero when there was none.
	LeftAt time.Time
}

// accounts reports whether this incarnation would know of a task that was
// handed to a sidecar of its name at or after the given time.
func (s Sidecar) accounts(since time.Time) bool {
	reply := s.Reply
	if reply == nil {
		return false
	}
	if reply.RecordsSince.After(since) && !(reply.First && reply.RecordsSince.Equal(reply.Started)) {
		return false
	}
	return reply.First || !reply.Started.After(since)
}

// startedNothing reports whether a sidecar that can't account for itself still
// provably started nothing of the job: it left in order before the job can
// have been claimed.
func (s Sidecar) startedNothing(since time.Time) bool {
	return s.Reply == nil && !s.LeftAt.IsZero() && s.LeftAt.Before(since)
}

func (s Sidecar) recordsOf(key model.JobKey) []wire.TaskRecord {
	if s.Reply == nil {
		return nil
	}
	var records []wire.TaskRecord
	for _, record := range s.Reply.Records {
		if record.Ref.Key == key {
			records = append(records, record)
		}
	}
	return records
}
