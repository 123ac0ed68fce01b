package sidecar

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/figring/figring/common/pause"
	"github.com/figring/figring/wire"
)

const (
	// renewBefore is how long before its end a permit is renewed for which
	// tasks are waiting.
	renewBefore = 500 * time.Millisecond
	// heartbeat is the interval at which an entry hears of a sidecar that has
	// nothing else to tell it.
	heartbeat = 4 * time.Second
	// renewJitter spreads the renewals of many sidecars.
	renewJitter = 200 * time.Millisecond
	// renewTimeout bounds one renewal.
	renewTimeout = time.Second
	// renewPause is the least time between two renewals.
	renewPause = 250 * time.Millisecond
	// refusedPause is the mean time between two renewals at an entry that
	// grants nothing.
	refusedPause    = time.Second
	renewRetryFirst = 50 * time.Millisecond
	renewRetryLast  = 2 * time.Second
)

// renewer keeps the permit of one entry alive while tasks of the entry wait
// here, tells it of changes of state, and lets it know at long intervals that
// this sidecar is there. Permits also come with the entry's dispatches, so that
// under load few renewals are needed, and without work none but heartbeats.
type renewer struct {
	directory *directory
	sidecar   *Sidecar
	entry     wire.EntryInfo
	// told is the state that the entry has heard of, plus one.
	told  uint64
	retry *backoff
	// answered is the last time in Unix nanoseconds at which the entry answered,
	// or at which the duty began.
	answered atomic.Int64
}

func newRenewer(directory *directory, entry wire.EntryInfo) *renewer {
	r := &renewer{
		directory: directory,
		sidecar:   directory.sidecar,
		entry:     entry,
		retry:     newBackoff(renewRetryFirst, renewRetryLast),
	}
	r.answered.Store(time.Now().UnixNano())
	return r
}

// silentFor returns the time since the entry last answered.
func (r *renewer) silentFor() time.Duration {
	return time.Since(time.Unix(0, r.answered.Load()))
}

func (r *renewer) run(ctx context.Context) {
	for ctx.Err() == nil {
		wake := r.sidecar.changed.wait()
		current, err := r.plan()
		if err != nil {
			return
		}
		if due := r.due(current); due > 0 && r.told == current.state+1 {
			_ = pause.ForOrWake(ctx, due, wake)
			continue
		}
		r.rest(ctx, current.state, r.renew(ctx, current.state))
	}
}

// due returns the time until the next renewal is needed.
func (r *renewer) due(current plan) time.Duration {
	jitter := rand.N(renewJitter)
	if current.wanted {
		return current.remaining - renewBefore - jitter
	}
	return heartbeat - jitter - current.quiet
}

// rest keeps the least time between two renewals. A change of state ends it, a
// task that waits does not: its permit was asked for just now.
func (r *renewer) rest(ctx context.Context, state uint64, least time.Duration) {
	end := time.Now().Add(least)
	for ctx.Err() == nil {
		left := time.Until(end)
		if left <= 0 {
			return
		}
		wake := r.sidecar.changed.wait()
		current, err := r.plan()
		if err != nil || current.state != state {
			return
		}
		_ = pause.ForOrWake(ctx, left, wake)
	}
}

func (r *renewer) plan() (plan, error) {
	answer := make(chan plan, 1)
	return ask(r.sidecar.box, planMessage{entry: r.entry.Incarnation, answer: answer}, answer)
}

// renew sends one renewal and returns how long to wait at least.
func (r *renewer) renew(ctx context.Context, state uint64) time.Duration {
	reply, err := r.call(ctx)
	if err != nil {
		r.sidecar.renewalFailures.Inc(1)
		return r.retry.delay()
	}
	r.sidecar.renewals.Inc(1)
	if r.sidecar.box.send(permitMessage{entry: reply.Entry, permit: reply.Permit}) != nil {
		return 0
	}
	if reply.Entry != r.entry.Incarnation {
		r.meet(ctx)
		return r.retry.delay()
	}
	r.retry.reset()
	r.told = state + 1
	r.answered.Store(time.Now().UnixNano())
	r.directory.answered.Store(r.answered.Load())
	r.pass(ctx, reply)
	if reply.Permit.TTL <= 0 {
		return max(reply.RetryAfter, refusedPause/2+rand.N(refusedPause))
	}
	return max(reply.RetryAfter, renewPause)
}

// call sends one renewal. After a failed call nobody reads its reply: an answer
// that comes too late may still be written into it.
func (r *renewer) call(ctx context.Context) (wire.RenewReply, error) {
	var reply wire.RenewReply
	answer := make(chan wire.RenewRequest, 1)
	request, err := ask(r.sidecar.box, renewMessage{entry: r.entry.Incarnation, answer: answer}, answer)
	if err != nil {
		return reply, err
	}
	request.KnownEntries = r.directory.known.Load()
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	err = r.sidecar.pool.Call(ctx, r.entry.Address, wire.MethodRenew, &request, &reply)
	if err != nil {
		return wire.RenewReply{}, Error.Wrap(err)
	}
	return reply, nil
}

// meet reports that another incarnation answers at the entry's address.
func (r *renewer) meet(ctx context.Context) {
	select {
	case r.sidecar.strangers <- "":
	case <-ctx.Done():
	}
}

// pass hands a newer list of entries to the directory.
func (r *renewer) pass(ctx context.Context, reply wire.RenewReply) {
	if reply.Entries == nil {
		return
	}
	select {
	case r.directory.lists <- entryList{entries: reply.Entries, version: reply.EntriesVersion}:
	case <-ctx.Done():
	}
}
