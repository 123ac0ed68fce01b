package jobstore

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/figring/figring/common/pause"
	"github.com/figring/figring/store"
	"github.com/figring/figring/work"
)

const (
	// queueSize is the number of changes that wait for one partition.
	queueSize = 4096
	// maxTxnOps bounds the conditions and writes of one transaction.
	maxTxnOps = 100
	// commitTimeout bounds one try of a transaction.
	commitTimeout = time.Second
	// minRetryPause and maxRetryPause bound the pause after a failed try.
	minRetryPause = 20 * time.Millisecond
	maxRetryPause = 500 * time.Millisecond
)

// Writer stores changes. The changes of a partition that come within an
// interval share a transaction.
type Writer struct {
	store    *Store
	interval func() time.Duration
	queues   [Partitions]chan *Change
	onError  func(error)
}

// NewWriter returns a writer whose transactions of a partition begin at least an
// interval apart. Each failed try is told to failed.
func NewWriter(store *Store, interval func() time.Duration, onError func(error)) *Writer {
	w := &Writer{store: store, interval: interval, onError: onError}
	for partition := range w.queues {
		w.queues[partition] = make(chan *Change, queueSize)
	}
	return w
}

// Enqueue hands a change in. It reports false when too many wait; nothing was done
// then.
func (w *Writer) Enqueue(change *Change) bool {
	select {
	case w.queues[partitionOf(change.id)] <- change:
		return true
	default:
		return false
	}
}

// Run stores changes until ctx ends.
func (w *Writer) Run(ctx context.Context) {
	var wait sync.WaitGroup
	for partition, queue := range w.queues {
		wait.Go(func() { w.runPartition(ctx, w.store.tables[partition], queue) })
	}
	wait.Wait()
}

func (w *Writer) runPartition(ctx context.Context, table store.Table, queue chan *Change) {
	batcher := &batchReader{queue: queue}
	for ctx.Err() == nil {
		batch := batcher.nextBatch(ctx)
		start := time.Now()
		w.store.write(ctx, table, batch, w.onError)
		if wait := w.interval() - time.Since(start); wait > 0 {
			// The end of ctx ends the loop.
			_ = pause.For(ctx, wait)
		}
	}
}

// batchReader takes changes that fit into one transaction from a ring.
type batchReader struct {
	queue chan *Change
	// deferred is a change that did not fit into the last batch.
	deferred *Change
}

// nextBatch waits for a change and returns it with all that wait and fit.
func (r *batchReader) nextBatch(ctx context.Context) []*Change {
	var batch []*Change
	ops := 0
	jobs := make(map[work.JobID]bool)
	for {
		change := r.dequeue(ctx, len(batch) == 0)
		if change == nil {
			return batch
		}
		if ops+change.opCount() > maxTxnOps || jobs[change.id] {
			r.deferred = change
			return batch
		}
		if !change.phase.CompareAndSwap(phaseQueued, phaseSent) {
			continue
		}
		ops += change.opCount()
		jobs[change.id] = true
		batch = append(batch, change)
	}
}

// dequeue returns the next change, nil when there is none or ctx has ended.
func (r *batchReader) dequeue(ctx context.Context, wait bool) *Change {
	if change := r.deferred; change != nil {
		r.deferred = nil
		return change
	}
	select {
	case change := <-r.queue:
		return change
	default:
	}
	if !wait {
		return nil
	}
	select {
	case change := <-r.queue:
		return change
	case <-ctx.Done():
		return nil
	}
}

// write stores a batch and finds out what became of each change.
func (s *Store) write(ctx context.Context, table store.Table, batch []*Change, onError func(error)) {
	if len(batch) == 0 {
		return
	}
	var txn store.Txn
	for _, change := range batch {
		txn.Conditions = append(txn.Conditions, change.conditions...)
		txn.Writes = append(txn.Writes, change.writes...)
	}
	outcomeUnknown := false
	delay := minRetryPause
	for ctx.Err() == nil {
		versions, err := commit(ctx, table, txn)
		if err == nil {
			complete(batch, WriteResult{Written: true, Version: versions[0]})
			return
		}
		onError(err)
		if errors.Is(err, store.ErrConflict) {
			s.resolveConflict(ctx, table, batch, outcomeUnknown, onError)
			return
		}
		outcomeUnknown = outcomeUnknown || errors.Is(err, store.ErrUnknownOutcome)
		// The end of ctx ends the loop.
		_ = pause.For(ctx, delay)
		delay = min(delay*2, maxRetryPause)
	}
}

func commit(ctx context.Context, table store.Table, txn store.Txn) ([]int64, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	versions, err := table.Commit(ctx, txn)
	if err == nil && len(versions) != len(txn.Writes) {
		return nil, Error.New("%d versions for %d writes: %w", len(versions), len(txn.Writes), store.ErrUnknownOutcome)
	}
	return versions, err
}

func complete(batch []*Change, result WriteResult) {
	for _, change := range batch {
		change.done(result)
	}
}

// resolveConflict settles a batch of which a condition did not hold. After a try
// without an answer, the batch may have been stored by that one. Else the
// changes are written in halves, until each resolveConflict stands alone.
func (s *Store) resolveConflict(ctx context.Context, table store.Table, batch []*Change, outcomeUnknown bool, onError func(error)) {
	if outcomeUnknown || len(batch) == 1 {
		version, written := s.findWritten(ctx, table, batch[0], onError)
		if ctx.Err() != nil {
			return
		}
		if written {
			complete(batch, WriteResult{Written: true, Version: version})
			return
		}
	}
	if len(batch) == 1 {
		batch[0].done(WriteResult{})
		return
	}
	half := len(batch) / 2
	s.write(ctx, table, batch[:half], onError)
	s.write(ctx, table, batch[half:], onError)
}

// findWritten reports whether the first row of a change holds what the change
// writes, and that row's version. Owners number their writes, so nobody else
// writes the same.
func (s *Store) findWritten(ctx context.Context, table store.Table, change *Change, onError func(error)) (int64, bool) {
	for ctx.Err() == nil {
		row, err := table.Get(ctx, change.writes[0].Key)
		if err == nil {
			return row.Version, bytes.Equal(row.Value, change.writes[0].Value)
		}
		if errors.Is(err, store.ErrNotFound) {
			return 0, false
		}
		onError(err)
		// The end of ctx ends the loop.
		_ = pause.For(ctx, minRetryPause)
	}
	return 0, false
}
