package entry

import (
	"context"
	"time"

	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
	"github.com/figring/figring/wire"
)

// Membership is the entry's view of its own lease, the other entries and the
// partition assignment. membership.Manager implements it.
type Membership interface {
	// Lease returns the time at which this entry's own lease ends, and the zero
	// time when it has none.
	Lease() time.Time
	// Owns reports whether this entry may decide about the partition's keys.
	Owns(partition int) bool
	// Owner returns the owner of the partition as last read from the table.
	Owner(partition int) (wire.EntryInfo, bool)
	// Live returns the entry with the given incarnation while its session exists.
	Live(incarnation model.Incarnation) (wire.EntryInfo, bool)
	// Entries returns the live entries and the version of the list.
	Entries() ([]wire.EntryInfo, int64)
	// Refresh asks for an early read of the table.
	Refresh()
}

// sessionManager maintains an entry's session. membership.Manager implements it.
type sessionManager interface {
	Membership
	// Ready reports whether the session is held and the assignment was read.
	Ready() bool
	// Fence returns the condition that every claim requires.
	Fence() store.Condition
	// Run maintains the session until ctx ends.
	Run(ctx context.Context) error
	// Leave hands the entry's partitions over to other entries. The session goes
	// on until Close.
	Leave(ctx context.Context) error
	// Close ends the session.
	Close(ctx context.Context) error
}
