package store

import "context"

// Objects is the platform's object store.
type Objects interface {
	// Put stores the object and replaces any object with the same name. It fails
	// with ErrUnavailable or ErrUnknownOutcome.
	Put(ctx context.Context, name string, body []byte) error
	// Get returns the body of the object. It fails with ErrNotFound or
	// ErrUnavailable.
	Get(ctx context.Context, name string) ([]byte, error)
	// List returns, in ascending order, at most limit names that have the prefix
	// and are greater than after.
	List(ctx context.Context, prefix, after string, limit int) ([]string, error)
	// Delete removes the object. It succeeds when there is no such object.
	Delete(ctx context.Context, name string) error
}
