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
	// heartbeatInterval is the interval at which an entry hears of a sidecar that has
	// nothing else to tell it.
	heartbeatInterval = 4 * time.Second
	// renewJitter spreads the renewals of many sidecars.
	renewJitter = 200 * time.Millisecond
	// renewTimeout bounds one renewal.
	renewTimeout = time.Second
	// minRenewInterval is the least time between two renewals.
	minRenewInterval = 250 * time.Millisecond
	// refusedRenewInterval is the mean time between two renewals at an entry that
	// grants nothing.
	refusedRenewInterval = time.Second
	renewRetryInitial    = 50 * time.Millisecond
	renewRetryMax        = 2 * time.Second
)

// renewer keeps the permit of one entry alive while tasks of the entry wait
// here, tells it of changes of state, and lets it know at long intervals that
// this sidecar is there. Permits also come with the entry's dispatches, so that
// under load few renewals are needed, and without work none but heartbeats.
type renewer struct {
	directory *directory
	sidecar   *Sidecar
	entry     wire.EntryInfo
	// reportedVersion is the state that the entry has heard of, plus one.
	reportedVersion uint64
	retry           *backoff
	// lastAnswered is the last time in Unix nanoseconds at which the entry lastAnswered,
	// or at which the duty began.
	lastAnswered atomic.Int64
}

func newRenewer(directory *directory, entry wire.EntryInfo) *renewer {
	r := &renewer{
		directory: directory,
		sidecar:   directory.sidecar,
		entry:     entry,
		retry:     newBackoff(renewRetryInitial, renewRetryMax),
	}
	r.lastAnswered.Store(time.Now().UnixNano())
	return r
}

// sinceLastAnswer returns the time since the entry last answered.
func (r *renewer) sinceLastAnswer() time.Duration {
	return time.Since(time.Unix(0, r.lastAnswered.Load()))
}

func (r *renewer) run(ctx context.Context) {
	for ctx.Err() == nil {
		wake := r.sidecar.changed.wait()
		current, err := r.state()
		if err != nil {
			return
		}
		if due := r.untilDue(current); due > 0 && r.reportedVersion == current.stateVersion+1 {
			_ = pause.Until(ctx, due, wake)
			continue
		}
		r.waitBeforeNext(ctx, current.stateVersion, r.renew(ctx, current.stateVersion))
	}
}

// untilDue returns the time until the next renewal is needed.
func (r *renewer) untilDue(current renewalState) time.Duration {
	jitter := rand.N(renewJitter)
	if current.hasQueued {
		return current.remaining - renewBefore - jitter
	}
	return heartbeatInterval - jitter - current.sinceLastSend
}

// waitBeforeNext keeps the least time between two renewals. A change of state ends it, a
// task that waits does not: its permit was asked for just now.
func (r *renewer) waitBeforeNext(ctx context.Context, stateVersion uint64, interval time.Duration) {
	end := time.Now().Add(interval)
	for ctx.Err() == nil {
		remaining := time.Until(end)
		if remaining <= 0 {
			return
		}
		wake := r.sidecar.changed.wait()
		current, err := r.state()
		if err != nil || current.stateVersion != stateVersion {
			return
		}
		_ = pause.Until(ctx, remaining, wake)
	}
}

func (r *renewer) state() (renewalState, error) {
	replyTo := make(chan renewalState, 1)
	return ask(r.sidecar.mailbox, renewalStateMessage{entry: r.entry.Incarnation, replyTo: replyTo}, replyTo)
}

// renew sends one renewal and returns how long to wait at least.
func (r *renewer) renew(ctx context.Context, stateVersion uint64) time.Duration {
	reply, err := r.call(ctx)
	if err != nil {
		r.sidecar.renewalFailures.Inc(1)
		return r.retry.delay()
	}
	r.sidecar.renewals.Inc(1)
	if r.sidecar.mailbox.send(permitMessage{entry: reply.Entry, permit: reply.Permit}) != nil {
		return 0
	}
	if reply.Entry != r.entry.Incarnation {
		r.reportReplacedEntry(ctx)
		return r.retry.delay()
	}
	r.retry.reset()
	r.reportedVersion = stateVersion + 1
	r.lastAnswered.Store(time.Now().UnixNano())
	r.directory.lastAnswered.Store(r.lastAnswered.Load())
	r.forwardEntries(ctx, reply)
	if reply.Permit.TTL <= 0 {
		return max(reply.RetryAfter, refusedRenewInterval/2+rand.N(refusedRenewInterval))
	}
	return max(reply.RetryAfter, minRenewInterval)
}

// call sends one renewal. After a failed call nobody reads its reply: an answer
// that comes too late may still be written into it.
func (r *renewer) call(ctx context.Context) (wire.RenewReply, error) {
	var reply wire.RenewReply
	replyTo := make(chan wire.RenewRequest, 1)
	request, err := ask(r.sidecar.mailbox, renewMessage{entry: r.entry.Incarnation, replyTo: replyTo}, replyTo)
	if err != nil {
		return reply, err
	}
	request.EntriesVersion = r.directory.version.Load()
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	err = r.sidecar.pool.Call(ctx, r.entry.Address, wire.MethodRenew, &request, &reply)
	if err != nil {
		return wire.RenewReply{}, Error.Wrap(err)
	}
	return reply, nil
}

// reportReplacedEntry reports that another incarnation answers at the entry's address.
func (r *renewer) reportReplacedEntry(ctx context.Context) {
	select {
	case r.sidecar.unknownEntries <- "":
	case <-ctx.Done():
	}
}

// forwardEntries hands a newer list of entries to the directory.
func (r *renewer) forwardEntries(ctx context.Context, reply wire.RenewReply) {
	if reply.Entries == nil {
		return
	}
	select {
	case r.directory.newLists <- entryList{entries: reply.Entries, version: reply.EntriesVersion}:
	case <-ctx.Done():
	}
}
