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

// sidecarLink keeps a session with one sidecar and opens a new one after a loss.
type sidecarLink struct {
	dispatcher *Dispatcher
	name       string
	hints      chan struct{}

	mu   sync.Mutex
	boot string
	open *openSession
	// after is the newest event that was taken note of, of the sidecar's life
	// afterBoot.
	after     uint64
	afterBoot string
	// noted is the number up to which the sidecar need not keep events.
	noted uint64
}

// hint tells the link that a life of its sidecar is known.
func (l *sidecarLink) hint(boot string) {
	l.mu.Lock()
	newer := boot > l.boot
	l.boot = max(l.boot, boot)
	l.mu.Unlock()
	if !newer {
		return
	}
	select {
	case l.hints <- struct{}{}:
	default:
	}
}

// run keeps the session until ctx ends or the sidecar was away for too long.
func (l *sidecarLink) run(ctx context.Context) {
	away := time.Now()
	pauseLength := minDialPause
	for ctx.Err() == nil {
		peer, ok := l.dispatcher.deps.Directory.Get(l.name)
		if !ok {
			return
		}
		opened, err := l.session(ctx, peer)
		if errors.Is(err, errDismissed) {
			l.dispatcher.links.dismiss(l.name)
			return
		}
		if opened {
			away = time.Now()
			pauseLength = minDialPause
		}
		if time.Since(away) > forgetAfter {
			l.dispatcher.deps.Directory.Remove(peer)
			return
		}
		l.rest(ctx, pauseLength)
		pauseLength = min(pauseLength*2, maxDialPause)
		if time.Since(away) > longAway {
			pauseLength = farDialPause
		}
	}
}

// rest waits before the next try, or until there is reason to try at once.
func (l *sidecarLink) rest(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.hints:
	case <-ctx.Done():
	}
}

// session opens a session and keeps it until it is lost. It reports whether
// there was one, and why it ended.
func (l *sidecarLink) session(ctx context.Context, peer session.Peer) (bool, error) {
	d := l.dispatcher
	client, err := link.Dial(ctx, peer.Address, d.settings.Secret)
	if err != nil {
		l.noteFailed("dial", err)
		return false, err
	}
	defer client.Close()
	opened, err := l.hello(ctx, client)
	if err != nil {
		l.noteFailed("hello", err)
		return false, err
	}
	d.deps.Log.Failure(eventlog.KindRegained).Str(eventlog.FieldName, l.name).Msg("")
	err = opened.serve(ctx)
	l.setOpen(nil)
	d.loop.Do(func(time.Time) { d.core.Disconnected(l.name, opened.lastSign()) })
	d.deps.Log.Failure(eventlog.KindLost).Str(eventlog.FieldName, l.name).Err(err).Msg("")
	return true, err
}

// noteFailed writes a line about a session that could not be opened.
func (l *sidecarLink) noteFailed(step string, err error) {
	l.dispatcher.deps.Log.Routine(eventlog.KindSession).Str(eventlog.FieldPeer, l.name).
		Str(eventlog.FieldOutcome, "failed").Str(eventlog.FieldReason, step).Err(err).Msg("")
}

// helloTimeout bounds the opening of a session.
const helloTimeout = 400 * time.Millisecond

// hello opens a session with what the entry believes to be at the sidecar.
func (l *sidecarLink) hello(ctx context.Context, client *link.Client) (*openSession, error) {
	d := l.dispatcher
	request := session.HelloRequest{Entry: d.settings.Self, Sidecar: l.name, After: l.after, AckedUpTo: l.noted, Boot: l.afterBoot, StoredJobsPossible: !d.keeper.noneSeen.Load()}
	d.loop.Do(func(time.Time) { request.Claims, request.Minion = d.core.BeginSession(l.name) })
	var reply session.HelloReply
	if err := client.Call(ctx, session.MethodHello, &request, &reply, helloTimeout); err != nil {
		client.Close()
		d.loop.Do(func(now time.Time) { d.core.SessionFailed(l.name, now) })
		return nil, err
	}
	opened := newOpenSession(l, client, &reply)
	newLife := l.afterBoot != reply.Sidecar.Boot
	if newLife {
		l.after, l.noted = 0, 0
		l.afterBoot = reply.Sidecar.Boot
	}
	d.loop.Do(func(time.Time) {
		if newLife {
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

// enqueue hands a request to the open session. Without one it is dropped: the
// next session settles by its claims what the sidecar has.
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
		// A link this far behind is as good as lost.
		opened.client.Close()
	}
}

// stampNow returns the entry's own time, for the age of signs.
func stampNow() time.Time { return boottime.Now() }
