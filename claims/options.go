package claims

import (
	"time"

	"github.com/google/uuid"
)

// Mode says how claims share writes.
type Mode string

const (
	// Grouped lets the claims that arrive during a write share the next one.
	Grouped Mode = "grouped"
	// RowPerClaim writes one row for each claim, as a baseline to measure by.
	RowPerClaim Mode = "row"
)

const (
	defaultMaxInFlight    = 1
	defaultMaxBatchClaims = 2000
	defaultMaxUnresolved  = 64
	defaultWriteTimeout   = 5 * time.Second
	// resolveInterval is the pause between two attempts to find out what
	// became of a write.
	resolveInterval = 100 * time.Millisecond
)

// Options tune a Writer. Zero values mean defaults.
type Options struct {
	Mode Mode
	// MinInterval returns the least time between the starts of two writes, the
	// entry's share of the write budget. Nil means no bound.
	MinInterval func() time.Duration
	// MaxInFlight bounds the writes in progress.
	MaxInFlight int
	// MaxBatchClaims bounds the claims in one write.
	MaxBatchClaims int
	// MaxUnresolved bounds the writes of unknown outcome. Above it every claim is
	// refused at once.
	MaxUnresolved int
	// WriteTimeout bounds one attempt of a write.
	WriteTimeout time.Duration
	// OnResolved reports the outcome of claims whose write was of unknown
	// outcome for a time: nil for written, else an error of this package. It is
	// called before the callers of Append that still wait are answered.
	OnResolved func(claims []Claim, err error)
	// Now and NewAttempt are time.Now and a random identifier by default.
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
