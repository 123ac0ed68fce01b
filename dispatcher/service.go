package dispatcher

import "github.com/figring/figring/session"

// service serves one connection. Its exported methods are called by RPC.
type service struct{ dispatcher *Dispatcher }

// Closed implements link.Receiver.
func (s *service) Closed() {}

// Announce takes processes that the entry may not know, and tells those that
// it knows. Sidecars among them are dialed.
func (s *service) Announce(request *session.AnnounceRequest, reply *session.AnnounceReply) error {
	s.dispatcher.parts.Directory.Merge(request.Peers...)
	reply.Peers = s.dispatcher.parts.Directory.All()
	return nil
}
