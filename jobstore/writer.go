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
	// queueSize is the maximum number of queued changes of one partition.
	queueSize = 4096
	// commitTimeout bounds one attempt to commit a transaction.
	commitTimeout = time.Second
	// minRetryPause and maxRetryPause bound the backoff after a failed attempt.
	minRetryPause = 20 * time.Millisecond
	maxRetryPause = 500 * time.Millisecond
)

// Writer writes changes. The changes of a partition that are queued during an
// interval share a transaction.
type Writer struct {
	store    *Store
	interval func() time.Duration
	queues   [Partitions]chan *Change
	onError  func(error)
}

// NewWriter returns a writer that starts the batches of a partition at least an
// interval apart. It calls onError with the error of each failed attempt.
func NewWriter(store *Store, interval func() time.Duration, onError func(error)) *Writer {
	w := &Writer{store: store, interval: interval, onError: onError}
	for partition := range w.queues {
		w.queues[partition] = make(chan *Change, queueSize)
	}
	return w
}

// Enqueue queues a change. It reports false, and does nothing, if the queue of the
// job's partition is full.
func (w *Writer) Enqueue(change *Change) bool {
	select {
	case w.queues[partitionOf(change.id)] <- change:
		return true
	default:
		return false
	}
}

// Run writes queued changes until ctx ends.
func (w *Writer) Run(ctx context.Context) {
	var wait sync.WaitGroup
	for partition, queue := range w.queues {
		wait.Go(func() { w.runPartition(ctx, w.store.tables[partition], queue) })
	}
	wait.Wait()
}

// runPartition writes the changes of one partition until ctx ends.
func (w *Writer) runPartition(ctx context.Context, table store.Table, queue chan *Change) {
	reader := &batchReader{queue: queue}
	for ctx.Err() == nil {
		batch := reader.nextBatch(ctx)
		start := time.Now()
		w.store.write(ctx, table, batch, w.onError)
		if wait := w.interval() - time.Since(start); wait > 0 {
			// An error means that ctx has ended, which also ends the loop.
			_ = pause.For(ctx, wait)
		}
	}
}

// batchReader reads batches of changes from a queue. A batch fits into one
// transaction.
type batchReader struct {
	queue chan *Change
	// deferred is a change that was read but not added to the last batch: it did
	// not fit, or the batch had a change of the same job.
	deferred *Change
}

// nextBatch waits for a change and returns it together with the queued changes
// that fit. It leaves out abandoned changes and marks the others as sent. The
// batch may be empty only after ctx has ended.
func (r *batchReader) nextBatch(ctx context.Context) []*Change {
	var batch []*Change
	ops, size := 0, 0
	jobs := make(map[work.JobID]bool)
	for {
		change := r.dequeue(ctx, len(batch) == 0)
		if change == nil {
			return batch
		}
		full := len(batch) > 0 && (ops+change.opCount() > maxTxnOps || size+change.txnBytes() > maxTxnBytes)
		if full || jobs[change.id] {
			r.deferred = change
			return batch
		}
		if !change.phase.CompareAndSwap(phaseQueued, phaseSent) {
			continue
		}
		ops += change.opCount()
		size += change.txnBytes()
		jobs[change.id] = true
		batch = append(batch, change)
	}
}

// dequeue returns the next change. If none is queued, it waits for one if wait is
// true, and returns nil otherwise or when ctx ends.
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

// write commits a batch, retrying until the outcome of each change is known or ctx
// ends.
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
		if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrInvalid) {
			refused := WriteResult{Rejected: errors.Is(err, store.ErrInvalid)}
			s.resolveRefused(ctx, table, batch, refused, outcomeUnknown, onError)
			return
		}
		outcomeUnknown = outcomeUnknown || errors.Is(err, store.ErrUnknownOutcome)
		// An error means that ctx has ended, which also ends the loop.
		_ = pause.For(ctx, delay)
		delay = min(delay*2, maxRetryPause)
	}
}

// commit makes one attempt to commit the transaction. It treats a reply with a
// wrong number of versions as an unknown outcome.
func commit(ctx context.Context, table store.Table, txn store.Txn) ([]int64, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	versions, err := table.Commit(ctx, txn)
	if err == nil && len(versions) != len(txn.Writes) {
		return nil, Error.New("%d versions for %d writes: %w", len(versions), len(txn.Writes), store.ErrUnknownOutcome)
	}
	return versions, err
}

// complete reports the result to each change of the batch.
func complete(batch []*Change, result WriteResult) {
	for _, change := range batch {
		change.done(result)
	}
}

// resolveRefused determines the outcome of a batch after a condition failed or the table
// rejected it. An earlier attempt of unknown outcome may have stored the batch.
// Otherwise the batch is split in halves that are written separately, down to single
// changes, so that one change does not fail the others.
func (s *Store) resolveRefused(ctx context.Context, table store.Table, batch []*Change, refused WriteResult, outcomeUnknown bool, onError func(error)) {
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
		batch[0].done(refused)
		return
	}
	half := len(batch) / 2
	s.write(ctx, table, batch[:half], onError)
	s.write(ctx, table, batch[half:], onError)
}

// findWritten reports whether the first row of a change has the value that the
// change writes, and the version of that row. No two changes write the same value:
// progress contains the owner and the sequence number of its write, an end the
// owner and the time.
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
		// An error means that ctx has ended, which also ends the loop.
		_ = pause.For(ctx, minRetryPause)
	}
	return 0, false
}
