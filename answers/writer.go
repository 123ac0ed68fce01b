package answers

import (
	"context"
	"time"

	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
)

const (
	// queueSize is the maximum number of queued answers.
	queueSize = 8192
	// flushInterval is how long a batch collects answers, and so the minimum
	// time between two writes unless a batch reaches maxBatchBytes.
	flushInterval = 500 * time.Millisecond
	// maxBatchBytes is the total body size at which a batch is written before
	// flushInterval is over.
	maxBatchBytes = 4 << 20
	// retryInterval is the delay after a failed write.
	retryInterval = 500 * time.Millisecond
	// writeTimeout bounds one attempt to write a batch.
	writeTimeout = 5 * time.Second
	// maxAttempts bounds the attempts to write one batch. In a longer outage of
	// the platform the batch is dropped: its answers then exist only in the
	// entry's memory and at the sidecars.
	maxAttempts = 240
)

// Options configures a Writer.
type Options struct {
	Table   store.Table
	Objects store.Objects
	// Self is the incarnation of the entry whose answers are written.
	Self model.Incarnation
	// OnDropped is called with the number of answers that were dropped because
	// the queue was full or their batch could not be written.
	OnDropped func(count int)
}

// Writer stores the answers of one entry asynchronously. All writes happen in
// Run.
type Writer struct {
	options  Options
	queue    chan *model.Answer
	sequence uint64
}

// NewWriter returns a writer that stores nothing until Run is called.
func NewWriter(options Options) *Writer {
	return &Writer{options: options, queue: make(chan *model.Answer, queueSize)}
}

// Enqueue queues an answer for Run. It never blocks: when the queue is full, the
// answer is dropped and reported to Options.OnDropped.
func (w *Writer) Enqueue(answer *model.Answer) {
	select {
	case w.queue <- answer:
	default:
		w.options.OnDropped(1)
	}
}

// Run writes queued answers until ctx ends. It then makes one attempt to write
// the answers that are still queued.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			w.writeQueued()
			return
		case first := <-w.queue:
			batch := w.collectBatch(ctx, first)
			w.writeBatch(ctx, batch, maxAttempts)
		}
	}
}

// collectBatch collects queued answers until flushInterval is over, the batch
// reaches maxBatchBytes or ctx ends.
func (w *Writer) collectBatch(ctx context.Context, first *model.Answer) []*model.Answer {
	batch := []*model.Answer{first}
	size := bodyBytes(first)
	timer := time.NewTimer(flushInterval)
	defer timer.Stop()
	for size < maxBatchBytes {
		select {
		case next := <-w.queue:
			batch = append(batch, next)
			size += bodyBytes(next)
		case <-timer.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// writeQueued makes one attempt to write all queued answers as one batch.
func (w *Writer) writeQueued() {
	var batch []*model.Answer
	for {
		select {
		case next := <-w.queue:
			batch = append(batch, next)
			continue
		default:
		}
		break
	}
	if len(batch) > 0 {
		w.writeBatch(context.Background(), batch, 1)
	}
}

// writeBatch writes the object of a batch before its index row, so that a row
// never refers to a missing object. Retries write both under the same name, so
// that writing them again after a lost reply is harmless.
func (w *Writer) writeBatch(ctx context.Context, batch []*model.Answer, attempts int) {
	body, err := encode(batch)
	if err != nil {
		w.options.OnDropped(len(batch))
		return
	}
	w.sequence++
	name := batchName(w.options.Self, time.Now(), w.sequence)
	txn := store.Txn{Writes: []store.Write{{Key: name, Value: encodeIndex(batch)}}}
	for range attempts {
		if w.tryWrite(ctx, name, body, txn) {
			return
		}
		select {
		case <-ctx.Done():
			// The last attempt needs a context that has not ended.
			if !w.tryWrite(context.Background(), name, body, txn) {
				w.options.OnDropped(len(batch))
			}
			return
		case <-time.After(retryInterval):
		}
	}
	w.options.OnDropped(len(batch))
}

// tryWrite makes one attempt to write the object and then the index row, and
// reports whether both were written.
func (w *Writer) tryWrite(ctx context.Context, name string, body []byte, txn store.Txn) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := w.options.Objects.Put(ctx, name, body); err != nil {
		return false
	}
	_, err := w.options.Table.Commit(ctx, txn)
	return err == nil
}

// bodyBytes returns the total size of the result bodies of an answer.
func bodyBytes(answer *model.Answer) int {
	size := 0
	for i := range answer.Results {
		size += len(answer.Results[i].Body)
	}
	return size
}
