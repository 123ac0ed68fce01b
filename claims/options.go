package claims

import (
	"time"

	"github.com/google/uuid"
)

// Mode selects how claims are batched.
type Mode string

const (
	// Grouped batches the claims that arrive while a write is in flight into
	// the next write.
	Grouped Mode = "grouped"
	// RowPerClaim writes one row for each claim. It is the baseline for
	// measurements of Grouped.
	RowPerClaim Mode = "row"
)

const (
	defaultMaxInFlight    = 1
	defaultMaxBatchClaims = 2000
	defaultMaxUnresolved  = 64
	defaultWriteTimeout   = 5 * time.Second
	// resolveInterval is the delay before each retry of a write of unknown
	// outcome.
	resolveInterval = 100 * time.Millisecond
)

// Options configures a Writer. Zero values select the defaults.
type Options struct {
	Mode Mode
	// MinInterval returns the minimum time between the starts of two writes,
	// which keeps the entry within its share of the table's write budget. Nil
	// means no minimum.
	MinInterval func() time.Duration
	// MaxInFlight is the maximum number of concurrent writes. Writes of unknown
	// outcome do not count.
	MaxInFlight int
	// MaxBatchClaims is the maximum number of claims in one write.
	MaxBatchClaims int
	// MaxUnresolved is the maximum number of writes of unknown outcome. Once it
	// is reached, Append returns ErrNotClaimed immediately.
	MaxUnresolved int
	// WriteTimeout bounds each request to the table.
	WriteTimeout time.Duration
	// OnResolved is called when a write of unknown outcome is resolved, with the
	// claims of the write and nil if it succeeded, an error of this package
	// otherwise. It is called before the waiting calls of Append return.
	OnResolved func(claims []Claim, err error)
	// Now and NewAttemptID default to time.Now and a random identifier.
	Now          func() time.Time
	NewAttemptID func() string
}

func (o Options) withDefaults() Options {
	if o.MaxInFlight <= 0 {
		o.MaxInFlight = defaultMaxInFlight
	}
	if o.MaxBatchClaims <= 0 {
		o.MaxBatchClaims = defaultMaxBatchClaims
	}
	if o.Mode == RowPerClaim {
		o.MaxBatchClaims = 1
	}
	if o.MaxUnresolved <= 0 {
		o.MaxUnresolved = defaultMaxUnresolved
	}
	if o.WriteTimeout <= 0 {
		o.WriteTimeout = defaultWriteTimeout
	}
	if o.MinInterval == nil {
		o.MinInterval = func() time.Duration { return 0 }
	}
	if o.OnResolved == nil {
		o.OnResolved = func([]Claim, error) {}
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.NewAttemptID == nil {
		o.NewAttemptID = uuid.NewString
	}
	return o
}
