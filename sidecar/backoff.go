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
	first time.Duration
	last  time.Duration
	next  time.Duration
}

func newBackoff(first, last time.Duration) *backoff {
	return &backoff{first: first, last: last, next: first}
}

func (b *backoff) reset() { b.next = b.first }

func (b *backoff) delay() time.Duration {
	now := b.next
	b.next = min(2*b.next, b.last)
	return now/2 + rand.N(now/2+1)
}

func (b *backoff) wait(ctx context.Context) error {
	return pause.For(ctx, b.delay())
}
