package dispatcher

import (
	"time"

	"github.com/figring/figring/session"
)

// service serves one connection. net/rpc calls its exported methods, except
// Closed.
type service struct{ dispatcher *Dispatcher }

// Closed implements link.Receiver.
func (s *service) Closed() {}

// Job tells another entry whether a task of a stored job has started.
func (s *service) Job(request *session.JobRequest, reply *session.JobReply) error {
	s.dispatcher.loop.Do(func(now time.Time) {
		_, reply.Begun, _, _ = s.dispatcher.core.State(now, request.Job)
	})
	return nil
}

// Ended handles the notification that another entry has ended a stored job.
func (s *service) Ended(request *session.EndedRequest, _ *session.EndedReply) error {
	s.dispatcher.loop.Do(func(time.Time) { s.dispatcher.core.EndedElsewhere(request.Job) })
	return nil
}

// Ownership tells an owner of stored jobs whether this entry may take them over.
func (s *service) Ownership(request *session.OwnershipRequest, reply *session.OwnershipReply) error {
	reply.Revoked = s.dispatcher.storedJobs.hasRevoked(request.Owner, request.Boot)
	return nil
}

// Pending returns the number of jobs of a route of which no task has started.
func (s *service) Pending(request *session.PendingRequest, reply *session.PendingReply) error {
	reply.Boot = s.dispatcher.settings.Self.Boot
	s.dispatcher.loop.Do(func(now time.Time) { reply.Count = s.dispatcher.core.PendingJobs(now, request.Route) })
	return nil
}

// Announce adds the sent peers to the directory and returns those that this entry
// knows, unless the sender has discovered them. A sidecar that is among the sent peers
// asks for a session. It is sent only the entries, because it uses no other sidecars and
// there may be many.
func (s *service) Announce(request *session.AnnounceRequest, reply *session.AnnounceReply) error {
	directory := s.dispatcher.deps.Directory
	directory.Merge(request.Peers...)
	fromSidecar := false
	for _, peer := range request.Peers {
		if peer.Role != session.RoleSidecar {
			continue
		}
		fromSidecar = true
		if !request.NoSession {
			s.dispatcher.links.invite(peer.Name)
		}
	}
	switch {
	case request.Discovered:
	case fromSidecar:
		reply.Peers = directory.WithRole(session.RoleEntry)
	default:
		reply.Peers = directory.All()
	}
	return nil
}
