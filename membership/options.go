package membership

import (
	"io"
	"time"

	"github.com/phuslu/log"

	"github.com/figring/figring/claims"
	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
	"github.com/figring/figring/wire"
)

const (
	// retryInterval is the pause before a failed read or write is repeated.
	retryInterval = 200 * time.Millisecond
	// observeInterval is the interval between two reads of the table.
	observeInterval = time.Second
	// requestTimeout bounds one request to the table.
	requestTimeout = model.SessionTTL
	// listRows is the maximum number of rows of one listing.
	listRows = 1000
)

// Options configure a Manager. Calls of OnAcquire and OnRelease never overlap; OnFenced
// may be called during either.
type Options struct {
	Table store.Table
	Self  wire.EntryInfo
	Log   *log.Logger
	// OnAcquire is called before Owns reports true, with the claims that
	// this entry and former owners made in the partition.
	OnAcquire func(partition int, claims []claims.Stored)
	// OnRelease is called after Owns reports false and before the partition is
	// transferred, also for one that was assigned to this entry but not yet
	// acquired. It must return once the outcome of every claim write for the partition is
	// known.
	OnRelease func(partition int)
	// OnFenced is called once if the session was taken over.
	OnFenced func()
	// Now is time.Now by default.
	Now func() time.Time
}

func (o Options) withDefaults() Options {
	if o.Log == nil {
		o.Log = &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}
	}
	if o.OnAcquire == nil {
		o.OnAcquire = func(int, []claims.Stored) {}
	}
	if o.OnRelease == nil {
		o.OnRelease = func(int) {}
	}
	if o.OnFenced == nil {
		o.OnFenced = func() {}
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}
