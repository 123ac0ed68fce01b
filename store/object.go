package store

import "context"

// Objects is the platform's object store.
type Objects interface {
	// Put stores the object, replacing one of the same name. It returns
	// ErrUnavailable or ErrUnknownOutcome.
	Put(ctx context.Context, name string, body []byte) error
	// Get returns the object, or ErrNotFound or ErrUnavailable.
	Get(ctx context.Context, name string) ([]byte, error)
	// List returns at most limit names with the prefix that are greater than
	// after, in ascending order.
	List(ctx context.Context, prefix, after string, limit int) ([]string, error)
	// Delete removes the object; removing an absent one succeeds.
	Delete(ctx context.Context, name string) error
}
