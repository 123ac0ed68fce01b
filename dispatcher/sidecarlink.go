package dispatcher

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/figring/figring/common/boottime"
	"github.com/figring/figring/common/eventlog"
	"github.com/figring/figring/session"
	"github.com/figring/figring/session/link"
)

// sidecarLink keeps a session with one sidecar and opens a new one when it is
// lost.
type sidecarLink struct {
	dispatcher *Dispatcher
	name       string
	newBoot    chan struct{}

	mu   sync.Mutex
	boot string
	open *openSession
	// after is the number of the newest event received from the sidecar's
	// incarnation afterBoot.
	after     uint64
	afterBoot string
	// ackedUpTo is the number up to which the sidecar need not keep events for
	// this entry.
	ackedUpTo uint64
	// unstored are those of these events that the sidecar has not been told yet to keep
	// for other entries.
	unstored []uint64
	// newsAfter is the number of the newest crash or poison task received from the
	// sidecar's incarnation afterBoot.
	newsAfter uint64
}

// applyNews passes crashes of the sidecar's minion and poison tasks to the core. It must
// be called from the loop, before the ends of the runs that were in progress.
func (l *sidecarLink) applyNews(now time.Time, reply *session.PollReply) {
	core := l.dispatcher.core
	for i := range reply.Crashes {
		if reply.Crashes[i].Number > l.newsAfter {
			core.MinionCrashed(now, l.name, &reply.Crashes[i])
		}
	}
	for i := range reply.Poison {
		if reply.Poison[i].Number > l.newsAfter {
			core.PoisonReported(now, l.name, &reply.Poison[i])
		}
	}
	l.newsAfter = max(l.newsAfter, reply.NewestNews())
}

// observeBoot tells the link an incarnation of its sidecar. If it is newer than
// the one that the link knows, the link retries at once.
func (l *sidecarLink) observeBoot(boot string) {
	l.mu.Lock()
	newer := boot > l.boot
	l.boot = max(l.boot, boot)
	l.mu.Unlock()
	if !newer {
		return
	}
	select {
	case l.newBoot <- struct{}{}:
	default:
	}
}

// run keeps a session until ctx ends, the sidecar dismisses this entry, or the
// sidecar has been unreachable for forgetAfter.
func (l *sidecarLink) run(ctx context.Context) {
	lostAt := time.Now()
	backoff := minDialBackoff
	for ctx.Err() == nil {
		peer, ok := l.dispatcher.deps.Directory.Get(l.name)
		if !ok {
			return
		}
		opened, err := l.runSession(ctx, peer)
		if errors.Is(err, errDismissed) {
			l.dispatcher.links.dismiss(l.name)
			return
		}
		if opened {
			lostAt = time.Now()
			backoff = minDialBackoff
		}
		if time.Since(lostAt) > forgetAfter {
			l.dispatcher.deps.Directory.Remove(peer)
			return
		}
		l.waitRetry(ctx, backoff)
		backoff = min(backoff*2, maxDialBackoff)
		if time.Since(lostAt) > longOutage {
			backoff = longOutageDialInterval
		}
	}
}

// waitRetry waits for the length before the next attempt. It returns early when a
// newer incarnation of the sidecar is known.
func (l *sidecarLink) waitRetry(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.newBoot:
	case <-ctx.Done():
	}
}

// runSession opens a session and keeps it until it is lost. It returns whether the
// session was opened, and why it ended.
func (l *sidecarLink) runSession(ctx context.Context, peer session.Peer) (bool, error) {
	d := l.dispatcher
	client, err := link.Dial(ctx, peer.Address, d.settings.Secret)
	if err != nil {
		l.logFailure("dial", err)
		return false, err
	}
	defer client.Close()
	opened, err := l.hello(ctx, client)
	if err != nil {
		l.logFailure("hello", err)
		return false, err
	}
	d.deps.Log.Failure(eventlog.KindDependencyRegained).Str(eventlog.FieldDependency, l.name).Msg("")
	err = opened.serve(ctx)
	l.setOpen(nil)
	d.manifests.forget(l.name)
	d.loop.Do(func(time.Time) { d.core.Disconnected(l.name, opened.lastEchoReceived()) })
	d.deps.Log.Failure(eventlog.KindDependencyLost).Str(eventlog.FieldDependency, l.name).Err(err).Msg("")
	return true, err
}

// logFailure logs that a session could not be opened.
func (l *sidecarLink) logFailure(step string, err error) {
	l.dispatcher.deps.Log.Routine(eventlog.KindSession).Str(eventlog.FieldPeer, l.name).
		Str(eventlog.FieldOutcome, "failed").Str(eventlog.FieldReason, step).Err(err).Msg("")
}

// helloTimeout bounds the opening of a session.
const helloTimeout = 400 * time.Millisecond

// hello opens a session. It sends the runs that the entry believes to be at the
// sidecar as claims.
func (l *sidecarLink) hello(ctx context.Context, client *link.Client) (*openSession, error) {
	d := l.dispatcher
	request := session.HelloRequest{Entry: d.settings.Self, Sidecar: l.name, After: l.after, AckedUpTo: l.ackedUpTo, Unstored: l.unstored, Boot: l.afterBoot, StoredJobsPossible: !d.storedJobs.noOwners.Load()}
	d.loop.Do(func(now time.Time) {
		request.Claims, request.Minion = d.core.BeginSession(now, l.name)
		request.StoredEnds = d.core.StoredEnds(l.name)
	})
	var reply session.HelloReply
	if err := client.Call(ctx, session.MethodHello, &request, &reply, helloTimeout); err != nil {
		client.Close()
		d.loop.Do(func(now time.Time) { d.core.SessionFailed(l.name, now) })
		return nil, err
	}
	l.unstored = nil
	opened := newOpenSession(l, client, &reply)
	restarted := l.afterBoot != reply.Sidecar.Boot
	if restarted {
		l.after, l.ackedUpTo, l.newsAfter = 0, 0, 0
		l.afterBoot = reply.Sidecar.Boot
	}
	d.loop.Do(func(time.Time) {
		if restarted {
			d.core.SidecarRestarted(l.name)
		}
		l.setOpen(opened)
		d.core.Connected(l.name, reply.Sidecar.Zone, request.Claims)
	})
	d.deps.Directory.Merge(reply.Sidecar)
	return opened, nil
}

func (l *sidecarLink) setOpen(opened *openSession) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open = opened
}

// enqueue passes a request to the open session. Without a session the request is
// dropped: the claims of the next session determine which runs the sidecar keeps.
func (l *sidecarLink) enqueue(request any) {
	l.mu.Lock()
	opened := l.open
	l.mu.Unlock()
	if opened == nil {
		return
	}
	select {
	case opened.outgoing <- request:
	default:
		// The queue is full. A sidecar this far behind is treated as lost.
		opened.client.Close()
	}
}

// localNow returns the time on this entry's boot clock, on which the age of an
// echo is measured.
func localNow() time.Time { return boottime.Now() }
