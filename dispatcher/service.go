package dispatcher

import "github.com/figring/figring/session"

// service serves one connection. Its exported methods are called by RPC.
type service struct{ dispatcher *Dispatcher }

// Closed implements link.Receiver.
func (s *service) Closed() {}

// Announce takes processes that the entry may not know, and tells those that
// it knows. A sidecar among them asks for a session.
func (s *service) Announce(request *session.AnnounceRequest, reply *session.AnnounceReply) error {
	s.dispatcher.parts.Directory.Merge(request.Peers...)
	for _, peer := range request.Peers {
		if peer.Role == session.RoleSidecar {
			s.dispatcher.links.invite(peer.Name)
		}
	}
	reply.Peers = s.dispatcher.parts.Directory.All()
	return nil
}
