package fault

import (
	"context"
	"time"
)

// Sleep waits for a time or until ctx ends, and then returns its error.
type Sleep func(ctx context.Context, d time.Duration) error

// TimerSleep waits on a timer of package time.
func TimerSleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
