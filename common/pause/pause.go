// Package pause waits for a time or for the end of a context, whichever comes
// first.
package pause

import (
	"context"
	"time"
)

// For waits for the length. It returns the context's error when that ended
// first.
func For(ctx context.Context, length time.Duration) error {
	return ForOrWake(ctx, length, nil)
}

// ForOrWake waits for the length, or for a value from wake, which may be nil. It
// returns the context's error when that ended first.
func ForOrWake(ctx context.Context, length time.Duration, wake <-chan struct{}) error {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-wake:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
