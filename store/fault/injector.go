package fault

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"

	"github.com/figring/figring/store"
)

// Injector holds the settings that a decorated table and a decorated object
// store share, and draws their faults.
type Injector struct {
	sleep Sleep

	mu       sync.Mutex
	settings Settings
	random   *rand.Rand
}

// New returns an injector with the settings. Its faults are drawn from seed,
// its latencies pass in sleep; nil stands for TimerSleep.
func New(settings Settings, seed uint64, sleep Sleep) *Injector {
	if sleep == nil {
		sleep = TimerSleep
	}
	return &Injector{sleep: sleep, settings: settings, random: rand.New(rand.NewPCG(seed, seed))}
}

// Set replaces the settings. Requests that are under way keep the former ones.
func (i *Injector) Set(settings Settings) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.settings = settings
}

// Settings returns the settings in force.
func (i *Injector) Settings() Settings {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.settings
}

// draw returns the settings in force with the faults of one write.
func (i *Injector) draw() (settings Settings, writeLost, replyLost bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	writeLost = i.random.Float64() < i.settings.WriteLoss
	replyLost = i.random.Float64() < i.settings.ReplyLoss
	return i.settings, writeLost, replyLost
}

// read runs effect as a read under the settings in force.
func (i *Injector) read(ctx context.Context, effect func() error) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	settings := i.Settings()
	if settings.Outage {
		return outage()
	}
	if settings.Hang {
		<-ctx.Done()
		return unanswered(store.ErrUnavailable)
	}
	half := settings.ReadMillis / 2
	if i.sleep(ctx, (half+settings.BeforeMillis).Duration()) != nil {
		return unanswered(store.ErrUnavailable)
	}
	err := effect()
	if i.sleep(ctx, (half+settings.AfterMillis).Duration()) != nil {
		return unanswered(store.ErrUnavailable)
	}
	return err
}

// write runs effect as a write under the settings in force.
func (i *Injector) write(ctx context.Context, effect func() error) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	settings, writeLost, replyLost := i.draw()
	if settings.Outage {
		return outage()
	}
	if settings.Hang {
		<-ctx.Done()
		return unanswered(store.ErrUnknownOutcome)
	}
	half := settings.WriteMillis / 2
	if i.sleep(ctx, (half+settings.BeforeMillis).Duration()) != nil || writeLost {
		return unanswered(store.ErrUnknownOutcome)
	}
	err := effect()
	if i.sleep(ctx, (half+settings.AfterMillis).Duration()) != nil || replyLost {
		return unanswered(store.ErrUnknownOutcome)
	}
	return err
}

func outage() error {
	return fmt.Errorf("injected outage: %w", store.ErrUnavailable)
}

func unanswered(kind error) error {
	return fmt.Errorf("no answer: %w", kind)
}
