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
	queue      []*batch
	writeLoops int
	unresolved int
	sequence   uint64
	nextStart  time.Time
	fenced     bool
	// pending are the groups that are queued, in flight or unresolved.
	pending map[*batch]struct{}
}

// New returns a writer for the entry self, whose every write requires the
// condition that fence returns.
func New(table store.Table, self model.Incarnation, fence func() store.Condition, opts Options) *Writer {
	ctx, cancel := context.WithCancel(context.Background())
	return &Writer{
		table:   table,
		self:    self,
		fence:   fence,
		opts:    opts.withDefaults(),
		ctx:     ctx,
		cancel:  cancel,
		pending: make(map[*batch]struct{}),
	}
}

// Append blocks until the claim is known to be written and then returns nil.
// ErrNotClaimed and ErrFenced prove that it was not written. ErrClaimUnknown
// means that ctx ended first: the claim may exist, and Options.Resolved tells
// later.
func (w *Writer) Append(ctx context.Context, claim Claim) error {
	queued := &claim
	b, err := w.enqueue(queued)
	if err != nil {
		return err
	}
	select {
	case <-b.done:
		return b.err
	case <-ctx.Done():
		return w.abandon(b, queued, ctx.Err())
	}
}

func (w *Writer) enqueue(claim *Claim) (*batch, error) {
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
	b := w.batchWithRoom()
	b.claims = append(b.claims, claim)
	if w.writeLoops < w.opts.MaxInFlight {
		w.writeLoops++
		go w.writeLoop()
	}
	return b, nil
}

// batchWithRoom returns the last queued group, or a new one when that is full.
func (w *Writer) batchWithRoom() *batch {
	if last := len(w.queue) - 1; last >= 0 && len(w.queue[last].claims) < w.opts.MaxBatchClaims {
		return w.queue[last]
	}
	b := newBatch()
	w.queue = append(w.queue, b)
	w.pending[b] = struct{}{}
	return b
}

// abandon takes the claim back when its write has not started, which proves
// that it is not written.
func (w *Writer) abandon(b *batch, claim *Claim, cause error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-b.done:
		return b.err
	default:
	}
	if b.sent {
		return fmt.Errorf("%w: %w", ErrClaimUnknown, cause)
	}
	b.remove(claim)
	return fmt.Errorf("%w: %w", ErrNotClaimed, cause)
}

// writeLoop writes queued groups until none is left.
func (w *Writer) writeLoop() {
	for {
		if w.hasQueued() {
			w.throttle()
		}
		b, ok := w.dequeue()
		if !ok {
			return
		}
		w.write(b)
	}
}

// throttle waits until the write budget lets the next write start.
func (w *Writer) throttle() {
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

// dequeue removes the first queued group; without one the flight ends.
func (w *Writer) dequeue() (*batch, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.queue) > 0 {
		b := w.queue[0]
		w.queue = w.queue[1:]
		if len(b.claims) > 0 {
			b.sent = true
			return b, true
		}
		w.finishLocked(b, nil)
	}
	w.writeLoops--
	return nil, false
}

func (w *Writer) finish(b *batch, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finishLocked(b, err)
}

func (w *Writer) finishLocked(b *batch, err error) {
	delete(w.pending, b)
	b.finish(err)
}

// Flush returns once the outcome of every claim appended before it is known,
// or with ErrClaimUnknown when ctx ends first. It does not wait for later
// claims. Whoever gives a partition away stops claiming for it and then
// settles.
func (w *Writer) Flush(ctx context.Context) error {
	for _, b := range w.pendingBatches() {
		select {
		case <-b.done:
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrClaimUnknown, ctx.Err())
		}
	}
	return nil
}

func (w *Writer) pendingBatches() []*batch {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Collect(maps.Keys(w.pending))
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
