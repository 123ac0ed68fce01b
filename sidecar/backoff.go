package sidecar

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/figring/figring/common/pause"
)

// backoff doubles the wait after each failure, with jitter over its upper
// half, so that many sidecars that failed together don't come back together.
type backoff struct {
	initial time.Duration
	maximum time.Duration
	next    time.Duration
}

func newBackoff(initial, maximum time.Duration) *backoff {
	return &backoff{initial: initial, maximum: maximum, next: initial}
}

func (b *backoff) reset() { b.next = b.initial }

func (b *backoff) delay() time.Duration {
	current := b.next
	b.next = min(2*b.next, b.maximum)
	return current/2 + rand.N(current/2+1)
}

func (b *backoff) wait(ctx context.Context) error {
	return pause.For(ctx, b.delay())
}
