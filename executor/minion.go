package executor

import (
	"context"
	"time"

	"github.com/figring/figring/decision/execution"
)

// Minion takes orders. A clock reading of 0 means that there was none.
type Minion interface {
	// Start orders a run under a lease that ends at the time on the minion's
	// clock.
	Start(ctx context.Context, instance string, order execution.Start, lease int64) (execution.StartOutcome, int64)
	// Stop orders the end of a run. Whether it has ended, the lists tell.
	Stop(ctx context.Context, instance string, order execution.Stop) error
	// List renews the lease and returns the minion's lists.
	List(ctx context.Context, instance string, request ListRequest) (execution.Listing, int64, error)
}

// ListRequest is a question for the minion's lists.
type ListRequest struct {
	Number    uint64
	Fence     int64
	AckedUpTo uint64
	// Lease is until when, on the minion's clock, its runs may go on; 0 leaves
	// the lease as it is.
	Lease int64
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
	// Grace is how long the answer may take beyond that.
	Grace time.Duration
}
