package entry

import (
	"context"
	"time"

	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
	"github.com/figring/figring/wire"
)

// Membership is what an entry knows of the other entries and of the partition
// assignment. membership.Manager implements it.
type Membership interface {
	// Lease returns the end of this entry's own lease, zero when it has none.
	Lease() time.Time
	// Owns reports whether this entry may decide about the partition's keys.
	Owns(partition int) bool
	// Owner returns the owner of the partition as last read from the table.
	Owner(partition int) (wire.EntryInfo, bool)
	// Live returns the entry of that incarnation while its session exists.
	Live(incarnation model.Incarnation) (wire.EntryInfo, bool)
	// Entries returns the live entries and the version of the list.
	Entries() ([]wire.EntryInfo, int64)
	// Refresh asks for an early read of the table.
	Refresh()
}

// sessionManager keeps an entry's session. membership.Manager implements it.
type sessionManager interface {
	Membership
	// Ready reports whether the session is held and the assignment was read.
	Ready() bool
	// Fence returns the condition that every claim requires.
	Fence() store.Condition
	// Run keeps the session until ctx ends.
	Run(ctx context.Context) error
	// Leave gives the partitions away.
	Leave(ctx context.Context) error
	// Close ends the session.
	Close(ctx context.Context) error
}
