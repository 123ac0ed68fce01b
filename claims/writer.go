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

// Writer writes the claims of one entry to the table. Claims that arrive while a
// write is in flight form the next batch: a single claim is written immediately,
// and batches grow with the load.
type Writer struct {
	table  store.Table
	self   model.Incarnation
	fence  func() store.Condition
	opts   Options
	ctx    context.Context
	cancel context.CancelFunc

	mu    sync.Mutex
	queue []*batch
	// writeLoops is the number of running write loops.
	writeLoops int
	// unresolved is the number of writes of unknown outcome.
	unresolved int
	sequence   uint64
	// nextStart is the earliest time at which the next write may start.
	nextStart time.Time
	fenced    bool
	// pending holds the batches that are queued, in flight or unresolved.
	pending map[*batch]struct{}
}

// New returns a writer for the entry self. Every write is conditional on the
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
// ErrNotClaimed and ErrFenced guarantee that the claim was not written.
// ErrClaimUnknown means that ctx ended or the writer was closed before the outcome
// was known: the claim may exist. Options.OnResolved reports the outcome later,
// unless the first commit of the write still returns a definite outcome, which is
// not reported.
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

// enqueue adds the claim to a queued batch and starts a write loop unless
// Options.MaxInFlight are running.
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

// batchWithRoom returns the last queued batch, or a new one when that batch is
// full or the queue is empty.
func (w *Writer) batchWithRoom() *batch {
	if last := len(w.queue) - 1; last >= 0 && len(w.queue[last].claims) < w.opts.MaxBatchClaims {
		return w.queue[last]
	}
	b := newBatch()
	w.queue = append(w.queue, b)
	w.pending[b] = struct{}{}
	return b
}

// abandon removes the claim from its batch and returns ErrNotClaimed if the write
// of the batch has not started; the claim is then never written. Otherwise it
// returns the outcome of the write, or ErrClaimUnknown while that is unknown.
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

// writeLoop writes queued batches until none is left.
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

// throttle waits until Options.MinInterval has passed since the start of the
// previous write.
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

// dequeue removes the first queued batch. When none is left, it reports false, and
// the calling write loop must end.
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

// finishLocked is called with mu held.
func (w *Writer) finishLocked(b *batch, err error) {
	delete(w.pending, b)
	b.finish(err)
}

// Flush waits until the outcome of every claim appended before the call is known.
// It returns ErrClaimUnknown when ctx ends first. It does not wait for claims
// appended later. An entry that releases a partition must stop appending claims
// of that partition and then call Flush.
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

// Close stops the writer. Claims whose write has an unknown outcome end with
// ErrClaimUnknown; to wait for their outcome, call Flush before Close.
func (w *Writer) Close() {
	w.cancel()
}

// sleep waits until the time has passed or the writer is closed.
func (w *Writer) sleep(wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.ctx.Done():
	}
}
