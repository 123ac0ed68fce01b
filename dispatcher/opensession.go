package dispatcher

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/figring/figring/session"
	"github.com/figring/figring/session/link"
)

const (
	// pollWait is how long a sidecar holds a poll to which it has nothing to reply.
	// It is the interval of the session's heartbeats.
	pollWait = 180 * time.Millisecond
	// pollGrace is the time beyond pollWait after which an unanswered poll ends the
	// session.
	pollGrace = 270 * time.Millisecond
	// orderTimeout bounds the wait for the reply to a start or a stop.
	orderTimeout = pollWait + pollGrace
	// orderSenders is the number of starts and stops that are sent to one sidecar
	// concurrently.
	orderSenders = 4
	// classLoadInterval is the least time between two class loads to one sidecar. The
	// loads change within about a second.
	classLoadInterval = 250 * time.Millisecond
)

// openSession is a session with one sidecar.
type openSession struct {
	link     *sidecarLink
	client   *link.Client
	outgoing chan any

	mu sync.Mutex
	// echo is the newest timestamp from the sidecar; it arrived at echoReceivedAt.
	echo           session.Stamp
	echoReceivedAt time.Time

	// poison are the poison tasks to send with the next poll. The newest of them has the
	// number poisonNewest; those up to poisonAfter were sent. Only poll uses these.
	poison                    []session.PoisonTask
	poisonAfter, poisonNewest uint64
	// classLoad is the load to send with the next poll, nil for none. The newest was
	// computed at classLoadAt. Only poll uses these.
	classLoad   session.ClassLoad
	classLoadAt time.Time
}

func newOpenSession(l *sidecarLink, client *link.Client, reply *session.HelloReply) *openSession {
	return &openSession{
		link:           l,
		client:         client,
		outgoing:       make(chan any, orderQueueSize),
		echo:           reply.Stamp,
		echoReceivedAt: localNow(),
	}
}

// lastEchoReceived returns when the timestamp arrived that the entry echoes now.
// The sidecar regards no message of the entry as newer than that.
func (s *openSession) lastEchoReceived() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.echoReceivedAt
}

func (s *openSession) newestEcho() session.Stamp {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.echo
}

func (s *openSession) recordStamp(stamp session.Stamp) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.echo = stamp
	s.echoReceivedAt = localNow()
}

// serve polls the sidecar and sends orders until the session is lost.
func (s *openSession) serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.poll(ctx) })
	for range orderSenders {
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
	known := d.deps.Holder.Newest().Version
	for ctx.Err() == nil {
		request := session.PollRequest{
			Echo:            s.newestEcho(),
			After:           s.link.after,
			AckedUpTo:       s.link.ackedUpTo,
			Unstored:        s.link.unstored,
			NewsAfter:       s.link.newsAfter,
			Poison:          s.poison,
			Wait:            pollWait,
			Sidecars:        int(d.sidecars.Load()),
			SnapshotVersion: d.deps.Holder.Newest().Version,
			Zones:           d.deps.Holder.ZonesFor(known),
			ClassLoad:       s.classLoad,
		}
		var reply session.PollReply
		if err := s.client.Call(ctx, session.MethodPoll, &request, &reply, pollWait+pollGrace); err != nil {
			return err
		}
		known = reply.SnapshotVersion
		s.poisonAfter = s.poisonNewest
		if placed := s.applyReply(&reply); placed == 0 && reply.State.Reason == session.RefusedTooManyEntries {
			return errDismissed
		}
	}
	return ctx.Err()
}

// applyReply passes the contents of a reply to the core, and returns the number
// of tasks that are still placed on the sidecar.
func (s *openSession) applyReply(reply *session.PollReply) int {
	d := s.link.dispatcher
	s.recordStamp(reply.Stamp)
	d.deps.Directory.Merge(reply.Entries...)
	s.applyConfiguration(reply)
	if orphans := reply.AllOrphans(); len(orphans) > 0 {
		d.background.Go(func() { s.releaseStored(orphans) })
	}
	if len(reply.Events) > 0 {
		s.link.after = reply.Events[len(reply.Events)-1].Number
	}
	placed := 0
	d.loop.Do(func(now time.Time) {
		d.core.Updated(now, s.link.name, reply.State)
		s.link.applyNews(now, reply)
		for _, event := range reply.Events {
			d.core.RunEnded(now, s.link.name, event)
		}
		d.core.ClassLoadAnswered(now, s.link.name, reply.ClassLoad)
		s.updateClassLoad(now)
		s.poison, s.poisonNewest = d.core.PoisonAfter(now, s.poisonAfter)
		placed = d.core.PlacedTasks(s.link.name)
		s.link.ackedUpTo = max(s.link.ackedUpTo, d.core.AckedUpTo(s.link.name))
		s.link.unstored = d.core.TakeUnstored(s.link.name)
	})
	return placed
}

// updateClassLoad sets the load to send with the next poll. It must be called from the
// loop.
func (s *openSession) updateClassLoad(now time.Time) {
	s.classLoad = nil
	if now.Sub(s.classLoadAt) < classLoadInterval {
		return
	}
	s.classLoad = s.link.dispatcher.core.ClassLoadFor(now, s.link.name)
	s.classLoadAt = now
}

// applyConfiguration adopts the parts of the sidecar's configuration that are newer, or
// has them fetched.
func (s *openSession) applyConfiguration(reply *session.PollReply) {
	d := s.link.dispatcher
	if reply.Snapshot != nil {
		d.deps.Holder.Offer(s.link.name, *reply.Snapshot)
	}
	if reply.Zones != nil {
		d.deps.Holder.OfferZones(s.link.name, *reply.Zones)
	}
	d.manifests.reported(s.link.name, reply.ManifestVersion)
}

// send sends starts and stops, one at a time.
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
