package claims

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
)

// Writer appends claims of one entry to the table. While one write is in
// flight the next group collects, so that a lone claim costs one write and
// load shares writes by itself.
type Writer struct {
	table  store.Table
	self   model.Incarnation
	fence  func() store.Condition
	opts   Options
	ctx    context.Context
	cancel context.CancelFunc

	mu         sync.Mutex
	queue      []*group
	flights    int
	unresolved int
	sequence   uint64
	nextStart  time.Time
	fenced     bool
	// open are the groups that are queued, in flight or unresolved.
	open map[*group]struct{}
}

// New returns a writer for the entry self, whose every write requires the
// condition that fence returns.
func New(table store.Table, self model.Incarnation, fence func() store.Condition, opts Options) *Writer {
	ctx, cancel := context.WithCancel(context.Background())
	return &Writer{
		table:  table,
		self:   self,
		fence:  fence,
		opts:   opts.withDefaults(),
		ctx:    ctx,
		cancel: cancel,
		open:   make(map[*group]struct{}),
	}
}

// Append blocks until the claim is known to be written and then returns nil.
// ErrNotClaimed and ErrFenced prove that it was not written. ErrClaimUnknown
// means that ctx ended first: the claim may exist, and Options.Resolved tells
// later.
func (w *Writer) Append(ctx context.Context, claim Claim) error {
	own := &claim
	joined, err := w.join(own)
	if err != nil {
		return err
	}
	select {
	case <-joined.done:
		return joined.err
	case <-ctx.Done():
		return w.abandon(joined, own, ctx.Err())
	}
}

func (w *Writer) join(claim *Claim) (*group, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenced {
		return nil, ErrFenced
	}
	if w.ctx.Err() != nil {
		return nil, fmt.Errorf("%w: writer is closed", ErrNotClaimed)
	}
	if w.fence().Version <= 0 {
		return nil, fmt.Errorf("%w: no session", ErrNotClaimed)
	}
	if w.unresolved >= w.opts.MaxUnresolved {
		return nil, fmt.Errorf("%w: too many writes of unknown outcome", ErrNotClaimed)
	}
	target := w.collecting()
	target.claims = append(target.claims, claim)
	if w.flights < w.opts.MaxInFlight {
		w.flights++
		go w.flight()
	}
	return target, nil
}

// collecting returns the last queued group, or a new one when that is full.
func (w *Writer) collecting() *group {
	if last := len(w.queue) - 1; last >= 0 && len(w.queue[last].claims) < w.opts.MaxBatchClaims {
		return w.queue[last]
	}
	fresh := newGroup()
	w.queue = append(w.queue, fresh)
	w.open[fresh] = struct{}{}
	return fresh
}

// abandon takes the claim back when its write has not started, which proves
// that it is not written.
func (w *Writer) abandon(joined *group, claim *Claim, cause error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-joined.done:
		return joined.err
	default:
	}
	if joined.sent {
		return fmt.Errorf("%w: %w", ErrClaimUnknown, cause)
	}
	joined.remove(claim)
	return fmt.Errorf("%w: %w", ErrNotClaimed, cause)
}

// flight writes queued groups until none is left.
func (w *Writer) flight() {
	for {
		if w.hasQueued() {
			w.pace()
		}
		next, ok := w.take()
		if !ok {
			return
		}
		w.write(next)
	}
}

// pace waits until the write budget lets the next write start.
func (w *Writer) pace() {
	interval := w.opts.MinInterval()
	w.mu.Lock()
	now := w.opts.Now()
	start := now
	if w.nextStart.After(now) {
		start = w.nextStart
	}
	w.nextStart = start.Add(interval)
	w.mu.Unlock()
	if wait := start.Sub(now); wait > 0 {
		w.sleep(wait)
	}
}

func (w *Writer) hasQueued() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.queue) > 0
}

// take removes the first queued group; without one the flight ends.
func (w *Writer) take() (*group, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.queue) > 0 {
		next := w.queue[0]
		w.queue = w.queue[1:]
		if len(next.claims) > 0 {
			next.sent = true
			return next, true
		}
		w.finishLocked(next, nil)
	}
	w.flights--
	return nil, false
}

func (w *Writer) finish(done *group, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finishLocked(done, err)
}

func (w *Writer) finishLocked(done *group, err error) {
	delete(w.open, done)
	done.finish(err)
}

// Flush returns once the outcome of every claim appended before it is known,
// or with ErrClaimUnknown when ctx ends first. It does not wait for later
// claims. Whoever gives a partition away stops claiming for it and then
// settles.
func (w *Writer) Flush(ctx context.Context) error {
	for _, one := range w.openGroups() {
		select {
		case <-one.done:
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrClaimUnknown, ctx.Err())
		}
	}
	return nil
}

func (w *Writer) openGroups() []*group {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Collect(maps.Keys(w.open))
}

// Close ends the writer. Claims whose outcome is open end with
// ErrClaimUnknown; whoever wants them known calls Flush before.
func (w *Writer) Close() {
	w.cancel()
}

func (w *Writer) sleep(wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.ctx.Done():
	}
}
