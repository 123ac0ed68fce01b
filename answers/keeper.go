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
	// Dropped is called with the number of answers that were not written.
	Dropped func(count int)
}

// Keeper writes the answers of one entry behind. Run is its only duty.
type Keeper struct {
	options  Options
	incoming chan *model.Answer
	sequence uint64
}

// NewKeeper returns a keeper; Run writes.
func NewKeeper(options Options) *Keeper {
	return &Keeper{options: options, incoming: make(chan *model.Answer, backlog)}
}

// Keep queues an answer. It never blocks: an answer that finds the queue full
// is dropped and counted.
func (k *Keeper) Keep(answer *model.Answer) {
	select {
	case k.incoming <- answer:
	default:
		k.options.Dropped(1)
	}
}

// Run writes queued answers until ctx ends, and then once what is left.
func (k *Keeper) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			k.writeRest()
			return
		case first := <-k.incoming:
			group := k.gather(ctx, first)
			k.write(ctx, group, maxTries)
		}
	}
}

// gather collects a group for at most flushInterval.
func (k *Keeper) gather(ctx context.Context, first *model.Answer) []*model.Answer {
	group := []*model.Answer{first}
	size := sizeOf(first)
	timer := time.NewTimer(flushInterval)
	defer timer.Stop()
	for size < groupBytes {
		select {
		case next := <-k.incoming:
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

func (k *Keeper) writeRest() {
	var group []*model.Answer
	for {
		select {
		case next := <-k.incoming:
			group = append(group, next)
			continue
		default:
		}
		break
	}
	if len(group) > 0 {
		k.write(context.Background(), group, 1)
	}
}

// write stores a group: the object first, so that a row never names one that
// does not exist. Both writes are repeated under the same name, which makes a
// lost reply harmless.
func (k *Keeper) write(ctx context.Context, group []*model.Answer, tries int) {
	body, err := encode(group)
	if err != nil {
		k.options.Dropped(len(group))
		return
	}
	k.sequence++
	name := nameOf(k.options.Self, time.Now(), k.sequence)
	row := store.Txn{Writes: []store.Write{{Key: name, Value: encodeIndex(group)}}}
	for range tries {
		if k.store(ctx, name, body, row) {
			return
		}
		select {
		case <-ctx.Done():
			// The last try is made without the ended context.
			if !k.store(context.Background(), name, body, row) {
				k.options.Dropped(len(group))
			}
			return
		case <-time.After(retryPause):
		}
	}
	k.options.Dropped(len(group))
}

func (k *Keeper) store(ctx context.Context, name string, body []byte, row store.Txn) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := k.options.Objects.Put(ctx, name, body); err != nil {
		return false
	}
	_, err := k.options.Table.Commit(ctx, row)
	return err == nil
}

func sizeOf(answer *model.Answer) int {
	size := 0
	for i := range answer.Results {
		size += len(answer.Results[i].Body)
	}
	return size
}
