package dispatcher

import (
	"time"

	"github.com/figring/figring/session"
)

// service serves one connection. Its exported methods are called by RPC.
type service struct{ dispatcher *Dispatcher }

// Closed implements link.Receiver.
func (s *service) Closed() {}

// Job tells another entry about a stored job.
func (s *service) Job(request *session.JobRequest, reply *session.JobReply) error {
	s.dispatcher.loop.Do(func(time.Time) {
		_, reply.Begun, _, _ = s.dispatcher.core.State(request.Job)
	})
	return nil
}

// Ended takes note that another entry has ended a stored job.
func (s *service) Ended(request *session.EndedRequest, _ *session.EndedReply) error {
	s.dispatcher.loop.Do(func(time.Time) { s.dispatcher.core.Disown(request.Job) })
	return nil
}

// Pending counts the stored jobs of a route that have not begun.
func (s *service) Pending(request *session.PendingRequest, reply *session.PendingReply) error {
	s.dispatcher.loop.Do(func(time.Time) { reply.Count = s.dispatcher.core.PendingJobs(request.Route) })
	return nil
}

// Announce takes processes that the entry may not know, and tells those that
// it knows. A sidecar among them asks for a session.
func (s *service) Announce(request *session.AnnounceRequest, reply *session.AnnounceReply) error {
	s.dispatcher.deps.Directory.Merge(request.Peers...)
	for _, peer := range request.Peers {
		if peer.Role == session.RoleSidecar {
			s.dispatcher.links.invite(peer.Name)
		}
	}
	reply.Peers = s.dispatcher.deps.Directory.All()
	return nil
}
