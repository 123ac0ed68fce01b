package model

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/zeebo/errs"
)

// ErrKey is the class of errors for a job identifier that is not a version 7 UUID.
var ErrKey = errs.Class("job key")

// Partitions is the number of partitions of the job keys. It must not change during
// the lifetime of a deployment, because claims are stored by partition.
const Partitions = 64

// JobKey identifies a submission. The ID is a version 7 UUID (RFC 9562) chosen by
// the caller. A resubmission therefore carries the creation time of the first
// attempt, and a key older than Retention can be refused without a record of it.
type JobKey struct {
	Caller string
	ID     uuid.UUID
}

// ParseJobKey parses a caller's job identifier. It returns an error of class
// ErrKey when id is not a version 7 UUID.
func ParseJobKey(caller, id string) (JobKey, error) {
	parsed, err := uuid.Parse(id)
	if err != nil {
		return JobKey{}, ErrKey.New("%q is not a UUID", id)
	}
	if parsed.Version() != 7 {
		return JobKey{}, ErrKey.New("%q is a UUID of version %d, want 7", id, parsed.Version())
	}
	return JobKey{Caller: caller, ID: parsed}, nil
}

// NewJobKey returns a new key for caller, created now.
func NewJobKey(caller string) JobKey {
	return JobKey{Caller: caller, ID: uuid.Must(uuid.NewV7())}
}

// Created returns the creation time encoded in the key, with millisecond precision.
func (k JobKey) Created() time.Time {
	var millis int64
	for _, b := range k.ID[:6] {
		millis = millis<<8 | int64(b)
	}
	return time.UnixMilli(millis)
}

// Partition returns the partition of the key, in [0, Partitions).
func (k JobKey) Partition() int {
	return int(k.Hash() % Partitions)
}

// Hash returns a 64-bit xxHash of the caller and the identifier.
func (k JobKey) Hash() uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(k.Caller)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(k.ID[:])
	return digest.Sum64()
}

// String returns "caller/id".
func (k JobKey) String() string {
	return k.Caller + "/" + k.ID.String()
}
