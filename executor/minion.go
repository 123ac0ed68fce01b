package executor

import (
	"context"
	"time"

	"github.com/figring/figring/decision/execution"
)

// Minion is the client of the minion on the sidecar's instance. Start and List
// return a reading of the minion's clock, 0 when there was none.
type Minion interface {
	// Start orders the minion to start a run under a lease. The lease ends when
	// the minion's clock reaches the given time.
	Start(ctx context.Context, instance string, order execution.Start, lease int64) (execution.StartOutcome, int64)
	// Stop orders the minion to stop a run. Only a listing shows whether the run
	// has ended.
	Stop(ctx context.Context, instance string, order execution.Stop) error
	// List renews the lease and lists the minion's runs.
	List(ctx context.Context, instance string, request ListRequest) (execution.Listing, int64, error)
}

// ListRequest asks the minion to list its runs and renews their lease.
type ListRequest struct {
	Number    uint64
	Fence     int64
	AckedUpTo uint64
	// Lease is the new end of the lease of all runs, on the minion's clock; 0
	// leaves the lease unchanged.
	Lease int64
	// Wait is how long the minion may hold the request until a run ends.
	Wait time.Duration
	// Grace is how much longer than Wait the response may take.
	Grace time.Duration
}
