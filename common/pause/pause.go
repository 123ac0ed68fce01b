// Package pause provides sleeps that end early when a context is done.
package pause

import (
	"context"
	"time"
)

// For waits for the duration. It returns the context's error if ctx is done first.
func For(ctx context.Context, duration time.Duration) error {
	return ForOrWake(ctx, duration, nil)
}

// ForOrWake waits for the duration, or until wake receives a value or is closed.
// The channel wake may be nil. It returns the context's error if ctx is done first.
func ForOrWake(ctx context.Context, duration time.Duration, wake <-chan struct{}) error {
	timer := time.NewTimer(duration)
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
