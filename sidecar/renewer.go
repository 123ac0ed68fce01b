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
	// renewBefore is how long before its expiry a permit is renewed if tasks of
	// the entry are queued.
	renewBefore = 500 * time.Millisecond
	// heartbeatInterval is the interval between messages to an entry when there is
	// no other reason to send one.
	heartbeatInterval = 4 * time.Second
	// renewJitter spreads the renewals of many sidecars over time.
	renewJitter = 200 * time.Millisecond
	// renewTimeout bounds one renewal.
	renewTimeout = time.Second
	// minRenewInterval is the minimum time between two renewals.
	minRenewInterval = 250 * time.Millisecond
	// refusedRenewInterval is the mean time between two renewals at an entry that
	// does not grant a permit.
	refusedRenewInterval = time.Second
	// renewRetryInitial and renewRetryMax bound the delay after a failed renewal.
	renewRetryInitial = 50 * time.Millisecond
	renewRetryMax     = 2 * time.Second
)

// renewer renews the permit of one entry while tasks of the entry are queued,
// reports changes of state to the entry, and sends it heartbeats. Dispatches of the
// entry carry permits as well, so few renewals are needed under load, and only
// heartbeats without work.
type renewer struct {
	directory *directory
	sidecar   *Sidecar
	entry     wire.EntryInfo
	// reportedVersion is the last state version that was reported to the entry,
	// plus one; zero if none was.
	reportedVersion uint64
	retry           *backoff
	// lastAnswered is the time of the last answer of the entry in Unix
	// nanoseconds; before the first answer, the creation time of the renewer.
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

// run sends renewals when they are due until ctx or the event loop ends.
func (r *renewer) run(ctx context.Context) {
	for ctx.Err() == nil {
		wake := r.sidecar.changed.wait()
		current, err := r.state()
		if err != nil {
			return
		}
		if due := r.untilDue(current); due > 0 && r.reportedVersion == current.stateVersion+1 {
			_ = pause.ForOrWake(ctx, due, wake)
			continue
		}
		r.waitBeforeNext(ctx, current.stateVersion, r.renew(ctx, current.stateVersion))
	}
}

// untilDue returns the time until the next renewal is due.
func (r *renewer) untilDue(current renewalState) time.Duration {
	jitter := rand.N(renewJitter)
	if current.hasQueued {
		return current.remaining - renewBefore - jitter
	}
	return heartbeatInterval - jitter - current.sinceLastSend
}

// waitBeforeNext waits for the minimum interval between two renewals. A change of
// state ends the wait early. A newly queued task does not, because the entry has
// just been asked for a permit.
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
		_ = pause.ForOrWake(ctx, remaining, wake)
	}
}

// state queries the event loop.
func (r *renewer) state() (renewalState, error) {
	replyTo := make(chan renewalState, 1)
	return ask(r.sidecar.mailbox, renewalStateMessage{entry: r.entry.Incarnation, replyTo: replyTo}, replyTo)
}

// renew sends one renewal, processes the reply, and returns the minimum time until
// the next renewal.
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

// call sends one renewal. After a failed call it returns a new empty reply instead
// of the one passed to the call, which a late response might still be written to.
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

// reportReplacedEntry makes the directory read the list of entries, because another
// incarnation answers at the entry's address. The empty name is never listed.
func (r *renewer) reportReplacedEntry(ctx context.Context) {
	select {
	case r.sidecar.unknownEntries <- "":
	case <-ctx.Done():
	}
}

// forwardEntries passes the list of entries in the reply, if any, to the directory.
func (r *renewer) forwardEntries(ctx context.Context, reply wire.RenewReply) {
	if reply.Entries == nil {
		return
	}
	select {
	case r.directory.newLists <- entryList{entries: reply.Entries, version: reply.EntriesVersion}:
	case <-ctx.Done():
	}
}
