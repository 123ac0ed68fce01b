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
	// ringSize is the number of changes that wait for one partition.
	ringSize = 4096
	// maxEntries bounds the conditions and writes of one transaction.
	maxEntries = 100
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
	rings    [Partitions]chan *Change
	failed   func(error)
}

// NewWriter returns a writer whose transactions of a partition begin at least an
// interval apart. Each failed try is told to failed.
func NewWriter(target *Store, interval func() time.Duration, failed func(error)) *Writer {
	made := &Writer{store: target, interval: interval, failed: failed}
	for number := range made.rings {
		made.rings[number] = make(chan *Change, ringSize)
	}
	return made
}

// Enqueue hands a change in. It reports false when too many wait; nothing was done
// then.
func (w *Writer) Enqueue(change *Change) bool {
	select {
	case w.rings[partitionOf(change.id)] <- change:
		return true
	default:
		return false
	}
}

// Run stores changes until ctx ends.
func (w *Writer) Run(ctx context.Context) {
	var wait sync.WaitGroup
	for number, ring := range w.rings {
		wait.Go(func() { w.serve(ctx, w.store.parts[number], ring) })
	}
	wait.Wait()
}

func (w *Writer) serve(ctx context.Context, part store.Table, ring chan *Change) {
	collector := &collector{ring: ring}
	for ctx.Err() == nil {
		batch := collector.next(ctx)
		began := time.Now()
		w.store.write(ctx, part, batch, w.failed)
		if rest := w.interval() - time.Since(began); rest > 0 {
			// The end of ctx ends the loop.
			_ = pause.For(ctx, rest)
		}
	}
}

// collector takes changes that fit into one transaction from a ring.
type collector struct {
	ring chan *Change
	// held is a change that did not fit into the last batch.
	held *Change
}

// next waits for a change and returns it with all that wait and fit.
func (c *collector) next(ctx context.Context) []*Change {
	var batch []*Change
	entries := 0
	jobs := make(map[work.JobID]bool)
	for {
		change := c.take(ctx, len(batch) == 0)
		if change == nil {
			return batch
		}
		if entries+change.entries() > maxEntries || jobs[change.id] {
			c.held = change
			return batch
		}
		if !change.phase.CompareAndSwap(waiting, sent) {
			continue
		}
		entries += change.entries()
		jobs[change.id] = true
		batch = append(batch, change)
	}
}

// take returns the next change, nil when there is none or ctx has ended.
func (c *collector) take(ctx context.Context, wait bool) *Change {
	if held := c.held; held != nil {
		c.held = nil
		return held
	}
	select {
	case change := <-c.ring:
		return change
	default:
	}
	if !wait {
		return nil
	}
	select {
	case change := <-c.ring:
		return change
	case <-ctx.Done():
		return nil
	}
}

// write stores a batch and finds out what became of each change.
func (s *Store) write(ctx context.Context, part store.Table, batch []*Change, failed func(error)) {
	if len(batch) == 0 {
		return
	}
	var txn store.Txn
	for _, change := range batch {
		txn.Conditions = append(txn.Conditions, change.conditions...)
		txn.Writes = append(txn.Writes, change.writes...)
	}
	unknown := false
	rest := minRetryPause
	for ctx.Err() == nil {
		versions, err := commit(ctx, part, txn)
		if err == nil {
			settle(batch, WriteResult{Written: true, Version: versions[0]})
			return
		}
		failed(err)
		if errors.Is(err, store.ErrConflict) {
			s.conflict(ctx, part, batch, unknown, failed)
			return
		}
		unknown = unknown || errors.Is(err, store.ErrUnknownOutcome)
		// The end of ctx ends the loop.
		_ = pause.For(ctx, rest)
		rest = min(rest*2, maxRetryPause)
	}
}

func commit(ctx context.Context, part store.Table, txn store.Txn) ([]int64, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	versions, err := part.Commit(ctx, txn)
	if err == nil && len(versions) != len(txn.Writes) {
		return nil, Error.New("%d versions for %d writes: %w", len(versions), len(txn.Writes), store.ErrUnknownOutcome)
	}
	return versions, err
}

func settle(batch []*Change, result WriteResult) {
	for _, change := range batch {
		change.done(result)
	}
}

// conflict settles a batch of which a condition did not hold. After a try
// without an answer, the batch may have been stored by that one. Else the
// changes are written in halves, until each conflict stands alone.
func (s *Store) conflict(ctx context.Context, part store.Table, batch []*Change, unknown bool, failed func(error)) {
	if unknown || len(batch) == 1 {
		version, own := s.findOwn(ctx, part, batch[0], failed)
		if ctx.Err() != nil {
			return
		}
		if own {
			settle(batch, WriteResult{Written: true, Version: version})
			return
		}
	}
	if len(batch) == 1 {
		batch[0].done(WriteResult{})
		return
	}
	half := len(batch) / 2
	s.write(ctx, part, batch[:half], failed)
	s.write(ctx, part, batch[half:], failed)
}

// findOwn reports whether the first row of a change holds what the change
// writes, and that row's version. Owners number their writes, so nobody else
// writes the same.
func (s *Store) findOwn(ctx context.Context, part store.Table, change *Change, failed func(error)) (int64, bool) {
	for ctx.Err() == nil {
		row, err := part.Get(ctx, change.writes[0].Key)
		if err == nil {
			return row.Version, bytes.Equal(row.Value, change.writes[0].Value)
		}
		if errors.Is(err, store.ErrNotFound) {
			return 0, false
		}
		failed(err)
		// The end of ctx ends the loop.
		_ = pause.For(ctx, minRetryPause)
	}
	return 0, false
}
