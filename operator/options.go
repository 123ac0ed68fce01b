package operator

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"github.com/figring/figring/common/identity"
	"github.com/figring/figring/rollout"
)

// Error is the class of errors that New returns.
var Error = errs.Class("operator API")

// The default limits of a request.
const (
	// DefaultMaxBodyBytes limits the size of the request body.
	DefaultMaxBodyBytes = 4 << 20
	// DefaultTimeout limits the time to handle a request.
	DefaultTimeout = 10 * time.Second
)

// Options configures the operator API.
type Options struct {
	// Editor, Watcher and Operators are required.
	Editor    *rollout.Editor
	Watcher   *rollout.Watcher
	Operators *identity.Operators
	// Status returns the response body of GET /v1/status as a value that encodes
	// to JSON; an empty object by default.
	Status func(ctx context.Context) any
	// InForce reports whether nothing in the system depends on a version older
	// than version; Watcher.InForceEverywhere by default.
	InForce func(ctx context.Context, version int64) (bool, error)
	// Now defaults to time.Now.
	Now func() time.Time
	// MaxBodyBytes and Timeout limit one request; zero or less means the default.
	MaxBodyBytes int64
	Timeout      time.Duration
}

func (o Options) withDefaults() (Options, error) {
	if o.Editor == nil || o.Watcher == nil || o.Operators == nil {
		return o, Error.New("editor, watcher and operators are required")
	}
	if o.Status == nil {
		o.Status = func(context.Context) any { return struct{}{} }
	}
	if o.InForce == nil {
		o.InForce = o.watcherInForce
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.MaxBodyBytes <= 0 {
		o.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	return o, nil
}

func (o Options) watcherInForce(_ context.Context, version int64) (bool, error) {
	return o.Watcher.InForceEverywhere(version), nil
}
