package answers

import (
	"context"
	"time"

	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
)

const (
	// backlog bounds the answers that wait to be written.
	backlog = 8192
	// flushInterval is the least time between two groups.
	flushInterval = 500 * time.Millisecond
	// groupBytes is the size at which a group is written without waiting.
	groupBytes = 4 << 20
	// retryPause is the pause after a failed write.
	retryPause = 500 * time.Millisecond
	// writeTimeout bounds one write.
	writeTimeout = 5 * time.Second
	// maxTries bounds the tries at one group. A store that is out for longer
	// loses groups: the answers are then only in memory and at the sidecars.
	maxTries = 240
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
	incoming chan *model.Answer
	sequence uint64
}

// NewWriter returns a keeper; Run writes.
func NewWriter(options Options) *Writer {
	return &Writer{options: options, incoming: make(chan *model.Answer, backlog)}
}

// Enqueue queues an answer. It never blocks: an answer that finds the queue full
// is dropped and counted.
func (w *Writer) Enqueue(answer *model.Answer) {
	select {
	case w.incoming <- answer:
	default:
		w.options.OnDropped(1)
	}
}

// Run writes queued answers until ctx ends, and then once what is left.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			w.writeRest()
			return
		case first := <-w.incoming:
			group := w.gather(ctx, first)
			w.write(ctx, group, maxTries)
		}
	}
}

// gather collects a group for at most flushInterval.
func (w *Writer) gather(ctx context.Context, first *model.Answer) []*model.Answer {
	group := []*model.Answer{first}
	size := sizeOf(first)
	timer := time.NewTimer(flushInterval)
	defer timer.Stop()
	for size < groupBytes {
		select {
		case next := <-w.incoming:
			group = append(group, next)
			size += sizeOf(next)
		case <-timer.C:
			return group
		case <-ctx.Done():
			return group
		}
	}
	return group
}

func (w *Writer) writeRest() {
	var group []*model.Answer
	for {
		select {
		case next := <-w.incoming:
			group = append(group, next)
			continue
		default:
		}
		break
	}
	if len(group) > 0 {
		w.write(context.Background(), group, 1)
	}
}

// write stores a group: the object first, so that a row never names one that
// does not exist. Both writes are repeated under the same name, which makes a
// lost reply harmless.
func (w *Writer) write(ctx context.Context, group []*model.Answer, tries int) {
	body, err := encode(group)
	if err != nil {
		w.options.OnDropped(len(group))
		return
	}
	w.sequence++
	name := nameOf(w.options.Self, time.Now(), w.sequence)
	row := store.Txn{Writes: []store.Write{{Key: name, Value: encodeIndex(group)}}}
	for range tries {
		if w.store(ctx, name, body, row) {
			return
		}
		select {
		case <-ctx.Done():
			// The last try is made without the ended context.
			if !w.store(context.Background(), name, body, row) {
				w.options.OnDropped(len(group))
			}
			return
		case <-time.After(retryPause):
		}
	}
	w.options.OnDropped(len(group))
}

func (w *Writer) store(ctx context.Context, name string, body []byte, row store.Txn) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := w.options.Objects.Put(ctx, name, body); err != nil {
		return false
	}
	_, err := w.options.Table.Commit(ctx, row)
	return err == nil
}

func sizeOf(answer *model.Answer) int {
	size := 0
	for i := range answer.Results {
		size += len(answer.Results[i].Body)
	}
	return size
}
