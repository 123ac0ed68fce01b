package sidecar

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/figring/figring/common/pause"
)

// backoff is an exponential delay between retries. Jitter over the upper half of
// the delay keeps sidecars that failed at the same time from retrying at the same
// time.
type backoff struct {
	initial time.Duration
	maximum time.Duration
	next    time.Duration
}

func newBackoff(initial, maximum time.Duration) *backoff {
	return &backoff{initial: initial, maximum: maximum, next: initial}
}

func (b *backoff) reset() { b.next = b.initial }

// delay returns the next delay and doubles the one after it, up to maximum.
func (b *backoff) delay() time.Duration {
	current := b.next
	b.next = min(2*b.next, b.maximum)
	return current/2 + rand.N(current/2+1)
}

func (b *backoff) wait(ctx context.Context) error {
	return pause.For(ctx, b.delay())
}
