package fault

import (
	"context"
	"time"
)

// Sleep waits for d and returns nil. If ctx is done earlier, it returns the error
// of ctx.
type Sleep func(ctx context.Context, d time.Duration) error

// TimerSleep is a Sleep that waits on a time.Timer. If d is not positive, it
// returns ctx.Err() immediately.
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
