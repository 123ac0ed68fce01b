package adoption

import (
	"time"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// Sidecar is the answer of one sidecar listed in the platform's table.
type Sidecar struct {
	// Reply is nil when the sidecar did not answer.
	Reply *wire.LookupReply
	// LeftAt is the time of its orderly stop, or zero if there was none.
	LeftAt time.Time
}

// hasAllRecords reports whether the answering incarnation has a record of every
// task that was sent to a sidecar of its name at or after the given time.
func (s Sidecar) hasAllRecords(since time.Time) bool {
	reply := s.Reply
	if reply == nil {
		return false
	}
	if reply.RecordsSince.After(since) && !(reply.First && reply.RecordsSince.Equal(reply.Started)) {
		return false
	}
	return reply.First || !reply.Started.After(since)
}

// startedNothing reports whether a sidecar that did not answer is still proved not
// to have started a task of the job, because it was stopped in order before the
// job can have been claimed.
func (s Sidecar) startedNothing(since time.Time) bool {
	return s.Reply == nil && !s.LeftAt.IsZero() && s.LeftAt.Before(since)
}

// recordsOf returns the sidecar's records of the job's tasks.
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
