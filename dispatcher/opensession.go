package dispatcher

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/figring/figring/manifest"
	"github.com/figring/figring/session"
	"github.com/figring/figring/session/link"
)

const (
	// pollWait is how long a sidecar holds a poll back without news. It is the
	// interval of the session's heartbeats.
	pollWait = 180 * time.Millisecond
	// pollGrace is the time beyond pollWait after which the session is lost.
	pollGrace = 270 * time.Millisecond
	// orderTimeout bounds the answer to an order or a stop.
	orderTimeout = pollWait + pollGrace
	// senders is the number of orders under way to one sidecar.
	senders = 4
)

// openSession is a session with one sidecar.
type openSession struct {
	link     *sidecarLink
	client   *link.Client
	outgoing chan any

	mu sync.Mutex
	// echo is the newest stamp, which arrived at heardAt.
	echo    session.Stamp
	heardAt time.Time
}

func newOpenSession(owner *sidecarLink, client *link.Client, reply *session.HelloReply) *openSession {
	return &openSession{
		link:     owner,
		client:   client,
		outgoing: make(chan any, orderRing),
		echo:     reply.Stamp,
		heardAt:  stampNow(),
	}
}

// lastSign returns when the newest stamp arrived that the entry has repeated:
// the sidecar takes nothing of the entry for younger than that.
func (s *openSession) lastSign() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heardAt
}

func (s *openSession) newestEcho() session.Stamp {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.echo
}

func (s *openSession) heard(stamp session.Stamp) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.echo = stamp
	s.heardAt = stampNow()
}

// serve polls and sends until the session is lost.
func (s *openSession) serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.poll(ctx) })
	for range senders {
		group.Go(func() error { return s.send(ctx) })
	}
	group.Go(func() error {
		<-ctx.Done()
		s.client.Close()
		return nil
	})
	return group.Wait()
}

func (s *openSession) poll(ctx context.Context) error {
	d := s.link.dispatcher
	known := d.parts.Holder.Newest().Version
	for ctx.Err() == nil {
		request := session.PollRequest{
			Echo:            s.newestEcho(),
			After:           s.link.after,
			Noted:           s.link.noted,
			Wait:            pollWait,
			Sidecars:        int(d.sidecars.Load()),
			SnapshotVersion: d.parts.Holder.Newest().Version,
			Snapshot:        s.snapshotFor(known),
		}
		var reply session.PollReply
		if err := s.client.Call(ctx, session.MethodPoll, &request, &reply, pollWait+pollGrace); err != nil {
			return err
		}
		known = reply.SnapshotVersion
		if placed := s.take(&reply); placed == 0 && reply.State.Reason == session.RefusedElsewhere {
			return errDismissed
		}
	}
	return ctx.Err()
}

func (s *openSession) snapshotFor(known int64) *manifest.Snapshot {
	return s.link.dispatcher.parts.Holder.UpdateFor(known)
}

// take hands the news of a reply to the core, and returns the number of tasks
// that the sidecar still has.
func (s *openSession) take(reply *session.PollReply) int {
	d := s.link.dispatcher
	s.heard(reply.Stamp)
	d.parts.Directory.Merge(reply.Entries...)
	if reply.Snapshot != nil {
		d.parts.Holder.Offer(*reply.Snapshot)
	}
	if len(reply.Orphans) > 0 {
		d.background.Go(func() { s.resolve(reply.Orphans) })
	}
	if len(reply.Events) > 0 {
		s.link.after = reply.Events[len(reply.Events)-1].Number
	}
	placed := 0
	d.loop.Do(func(now time.Time) {
		d.core.Updated(now, s.link.name, reply.State)
		for _, event := range reply.Events {
			d.core.RunEnded(now, s.link.name, event)
		}
		placed = d.core.PlacedTasks(s.link.name)
		s.link.noted = max(s.link.noted, d.core.AckedUpTo(s.link.name))
	})
	return placed
}

// send sends orders and stops, one at a time.
func (s *openSession) send(ctx context.Context) error {
	for {
		select {
		case request := <-s.outgoing:
			if err := s.sendOne(ctx, request); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *openSession) sendOne(ctx context.Context, request any) error {
	switch request := request.(type) {
	case *session.StartRequest:
		return s.start(ctx, request)
	case *session.StopRequest:
		request.Echo = s.newestEcho()
		return s.client.Call(ctx, session.MethodStop, request, &session.StopReply{}, orderTimeout)
	}
	return nil
}

func (s *openSession) start(ctx context.Context, request *session.StartRequest) error {
	d := s.link.dispatcher
	request.Echo = s.newestEcho()
	var reply session.StartReply
	if err := s.client.Call(ctx, session.MethodStart, request, &reply, orderTimeout); err != nil {
		return err
	}
	if len(reply.Refusals) != len(request.Tasks) {
		return Error.New("%d refusals for %d tasks", len(reply.Refusals), len(request.Tasks))
	}
	d.loop.Do(func(now time.Time) { d.core.StartReplied(now, s.link.name, request, &reply) })
	return nil
}
