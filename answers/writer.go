package answers

import (
	"context"
	"time"

	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
)

const (
	// queueSize bounds the answers that wait to be written.
	queueSize = 8192
	// flushInterval is the least time between two groups.
	flushInterval = 500 * time.Millisecond
	// maxBatchBytes is the size at which a group is written without waiting.
	maxBatchBytes = 4 << 20
	// retryInterval is the pause after a failed write.
	retryInterval = 500 * time.Millisecond
	// writeTimeout bounds one write.
	writeTimeout = 5 * time.Second
	// maxAttempts bounds the tries at one group. A store that is out for longer
	// loses groups: the answers are then only in memory and at the sidecars.
	maxAttempts = 240
)

// Options configures a Keeper.
type Options struct {
	Table   store.Table
	Objects store.Objects
	Self    model.Incarnation
	// OnDropped is called with the number of answers that were not written.
	OnDropped func(count int)
}

// Writer writes the answers of one entry behind. Run is its only duty.
type Writer struct {
	options  Options
	queue    chan *model.Answer
	sequence uint64
}

// NewWriter returns a keeper; Run writes.
func NewWriter(options Options) *Writer {
	return &Writer{options: options, queue: make(chan *model.Answer, queueSize)}
}

// Enqueue queues an answer. It never blocks: an answer that finds the queue full
// is dropped and counted.
func (w *Writer) Enqueue(answer *model.Answer) {
	select {
	case w.queue <- answer:
	default:
		w.options.OnDropped(1)
	}
}

// Run writes queued answers until ctx ends, and then once what is left.
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

// collectBatch collects a group for at most flushInterval.
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

// writeBatch stores a group: the object first, so that a row never names one that
// does not exist. Both writes are repeated under the same name, which makes a
// lost reply harmless.
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
			// The last try is made without the ended context.
			if !w.tryWrite(context.Background(), name, body, txn) {
				w.options.OnDropped(len(batch))
			}
			return
		case <-time.After(retryInterval):
		}
	}
	w.options.OnDropped(len(batch))
}

func (w *Writer) tryWrite(ctx context.Context, name string, body []byte, txn store.Txn) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := w.options.Objects.Put(ctx, name, body); err != nil {
		return false
	}
	_, err := w.options.Table.Commit(ctx, txn)
	return err == nil
}

func bodyBytes(answer *model.Answer) int {
	size := 0
	for i := range answer.Results {
		size += len(answer.Results[i].Body)
	}
	return size
}
