package rollout

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/figring/figring/decision/bundle"
	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
)

// maxReads bounds the concurrent reads. With one read each model.BundlePoll it allows for
// reads of up to 3 s, which is longer than the result of a read stays fresh.
const maxReads = 6

// readTimeout ends a read whose result would no longer be fresh.
const readTimeout = model.BundleTTL

// Watcher polls the bundle in force and notifies listeners of each new version. A read
// starts at every poll even if earlier reads have not returned, so that a slow store
// delays the view but doesn't make it stale.
type Watcher struct {
	store     bundleTable
	options   WatcherOptions
	readSlots chan struct{}

	readCount, readErrors, readsSkipped, olderDropped, newVersions tally.Counter

	// deliveryMu serializes the calls of listeners. It is locked before mu.
	deliveryMu sync.Mutex
	listeners  []func(model.Bundle)

	mu       sync.Mutex
	known    bool
	view     bundle.View
	wasFresh bool
	tracker  versionTracker
}

// NewWatcher returns a watcher of the bundle in table. Run starts it.
func NewWatcher(table store.Table, options WatcherOptions) *Watcher {
	options = options.withDefaults()
	return &Watcher{
		store:        bundleTable{table: table},
		options:      options,
		readSlots:    make(chan struct{}, maxReads),
		readCount:    options.Scope.Counter("bundle_reads"),
		readErrors:   options.Scope.Counter("bundle_read_errors"),
		readsSkipped: options.Scope.Counter("bundle_reads_skipped"),
		olderDropped: options.Scope.Counter("bundle_older_dropped"),
		newVersions:  options.Scope.Counter("bundle_versions"),
		tracker:      versionTracker{inForceEverywhere: -1},
	}
}

// Run polls until ctx ends, and returns after its last read has finished.
func (w *Watcher) Run(ctx context.Context) {
	var wait sync.WaitGroup
	defer wait.Wait()
	ticker := time.NewTicker(model.BundlePoll)
	defer ticker.Stop()
	for ctx.Err() == nil {
		w.poll(ctx, &wait)
		w.logFreshnessChange()
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// poll starts a read unless maxReads reads are in progress.
func (w *Watcher) poll(ctx context.Context, wait *sync.WaitGroup) {
	select {
	case w.readSlots <- struct{}{}:
	default:
		w.readsSkipped.Inc(1)
		return
	}
	wait.Go(func() {
		defer w.releaseSlot()
		_ = w.read(ctx)
	})
}

func (w *Watcher) releaseSlot() { <-w.readSlots }

// ReadNow reads the table at once and returns the version of the view
// afterwards. By then every listener has been notified of that version.
func (w *Watcher) ReadNow(ctx context.Context) (int64, error) {
	select {
	case w.readSlots <- struct{}{}:
	case <-ctx.Done():
		return w.View().Bundle.Version, ctx.Err()
	}
	defer w.releaseSlot()
	err := w.read(ctx)
	return w.View().Bundle.Version, err
}

// View returns the bundle in force as last read. A caller that acts on it must
// check View.Fresh at the last step before the effect.
func (w *Watcher) View() bundle.View {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.view
}

// InForceEverywhere reports whether it is known that no process acts on a version older
// than version any more. It becomes true at the latest model.BundleTTL +
// model.ClockMargin after this process first read version, without any reply from the
// other processes.
func (w *Watcher) InForceEverywhere(version int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tracker.update(w.options.Now())
	return version <= w.tracker.inForceEverywhere
}

// Subscribe calls listener once for each new version that is read, in ascending order.
// If a version is already known, the first call is for that version and is made before
// Subscribe returns.
// Calls never overlap. A listener must return quickly and must not call ReadNow or
// Subscribe.
func (w *Watcher) Subscribe(listener func(model.Bundle)) {
	w.deliveryMu.Lock()
	defer w.deliveryMu.Unlock()
	w.listeners = append(w.listeners, listener)
	w.mu.Lock()
	known, current := w.known, w.view.Bundle
	w.mu.Unlock()
	if known {
		listener(current)
	}
}

// read reads the bundle once. The freshness of the result counts from the time at which
// the request was sent.
func (w *Watcher) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	sentAt := w.options.Now()
	w.readCount.Inc(1)
	incoming, _, err := w.store.current(ctx)
	if err != nil {
		w.readErrors.Inc(1)
		return err
	}
	w.handleRead(incoming, sentAt)
	return nil
}

// handleRead updates the view with the result of a read and notifies the listeners if the
// version is new.
func (w *Watcher) handleRead(incoming model.Bundle, sentAt time.Time) {
	w.deliveryMu.Lock()
	defer w.deliveryMu.Unlock()
	if !w.updateView(incoming, sentAt) {
		return
	}
	w.newVersions.Inc(1)
	w.options.Logger.Info().Int64("version", incoming.Version).Msg("bundle in force")
	for _, listener := range w.listeners {
		listener(incoming)
	}
}

// updateView updates the view and reports whether incoming is a new version. It drops a
// version older than that of the view.
func (w *Watcher) updateView(incoming model.Bundle, sentAt time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	next, dropped := w.view.Observe(incoming, sentAt)
	if dropped {
		w.olderDropped.Inc(1)
		return false
	}
	isNew := !w.known || next.Bundle.Version > w.view.Bundle.Version
	w.known = true
	w.view = next
	if isNew {
		w.tracker.add(next.Bundle.Version, w.options.Now())
	}
	return isNew
}

// logFreshnessChange logs when the view becomes fresh or stale.
func (w *Watcher) logFreshnessChange() {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, fresh := w.view.Fresh(w.options.Now())
	if fresh == w.wasFresh {
		return
	}
	w.wasFresh = fresh
	w.options.Logger.Info().Int64("version", w.view.Bundle.Version).Bool("fresh", fresh).Msg("bundle freshness changed")
}
