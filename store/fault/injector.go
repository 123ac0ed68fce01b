package fault

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"

	"github.com/figring/figring/store"
)

// Injector holds the fault settings and the random generator that a Table and an
// Objects of this package share.
type Injector struct {
	sleep Sleep

	mu       sync.Mutex
	settings Settings
	random   *rand.Rand
}

// New returns an injector with the settings. seed initializes the generator of
// random faults. The injector waits for latencies with sleep, or with TimerSleep
// if sleep is nil.
func New(settings Settings, seed uint64, sleep Sleep) *Injector {
	if sleep == nil {
		sleep = TimerSleep
	}
	return &Injector{sleep: sleep, settings: settings, random: rand.New(rand.NewPCG(seed, seed))}
}

// Set replaces the settings. Requests in progress keep the settings with which
// they started.
func (i *Injector) Set(settings Settings) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.settings = settings
}

// Settings returns the current settings.
func (i *Injector) Settings() Settings {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.settings
}

// drawWriteFaults returns the current settings and decides at random whether one
// write and its reply are lost.
func (i *Injector) drawWriteFaults() (settings Settings, writeLost, replyLost bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	writeLost = i.random.Float64() < i.settings.WriteLoss
	replyLost = i.random.Float64() < i.settings.ReplyLoss
	return i.settings, writeLost, replyLost
}

// read runs operation as a read that is subject to the current settings.
func (i *Injector) read(ctx context.Context, operation func() error) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	settings := i.Settings()
	if settings.Outage {
		return outageError()
	}
	if settings.Hang {
		<-ctx.Done()
		return noReplyError(store.ErrUnavailable)
	}
	halfLatency := settings.ReadMillis / 2
	if i.sleep(ctx, (halfLatency+settings.BeforeMillis).Duration()) != nil {
		return noReplyError(store.ErrUnavailable)
	}
	err := operation()
	if i.sleep(ctx, (halfLatency+settings.AfterMillis).Duration()) != nil {
		return noReplyError(store.ErrUnavailable)
	}
	return err
}

// write runs operation as a write that is subject to the current settings.
func (i *Injector) write(ctx context.Context, operation func() error) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	settings, writeLost, replyLost := i.drawWriteFaults()
	if settings.Outage {
		return outageError()
	}
	if settings.Hang {
		<-ctx.Done()
		return noReplyError(store.ErrUnknownOutcome)
	}
	halfLatency := settings.WriteMillis / 2
	if i.sleep(ctx, (halfLatency+settings.BeforeMillis).Duration()) != nil || writeLost {
		return noReplyError(store.ErrUnknownOutcome)
	}
	err := operation()
	if i.sleep(ctx, (halfLatency+settings.AfterMillis).Duration()) != nil || replyLost {
		return noReplyError(store.ErrUnknownOutcome)
	}
	return err
}

func outageError() error {
	return fmt.Errorf("injected outage: %w", store.ErrUnavailable)
}

// noReplyError returns the error for a request without a reply. It wraps outcome,
// which says whether the request may have taken effect.
func noReplyError(outcome error) error {
	return fmt.Errorf("no reply: %w", outcome)
}
