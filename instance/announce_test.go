package instance

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/session"
	"github.com/figring/figring/session/link"
)

// announce sends an announcement to the first entry and returns the peers of the reply.
func (s *system) announce(request session.AnnounceRequest) []session.Peer {
	s.t.Helper()
	var reply session.AnnounceReply
	must.NoError(s.t, link.CallOnce(s.t.Context(), s.address(entryHost, s.port), testSecret, session.MethodAnnounce, &request, &reply, 5*time.Second))
	return reply.Peers
}

func TestAnnouncingSidecarIsSentAllSidecars(t *testing.T) {
	s := newSystem(t, 3, 2)
	peers := s.announce(session.AnnounceRequest{Peers: []session.Peer{{Name: "side-0", Role: session.RoleSidecar}}})
	must.Len(t, 2, peers)
	for _, peer := range peers {
		must.EqOp(t, session.RoleEntry, peer.Role)
	}
}

// TestDiscoveredPeersAreNotSentAgain covers a process that has read the table: the reply
// to its announcement has no peers, whose number grows with the fleet.
func TestDiscoveredPeersAreNotSentAgain(t *testing.T) {
	s := newSystem(t, 3, 2)
	sidecar := session.Peer{Name: "side-0", Role: session.RoleSidecar}
	other := session.Peer{Name: "entry-1", Role: session.RoleEntry}
	must.Len(t, 0, s.announce(session.AnnounceRequest{Peers: []session.Peer{sidecar}, Discovered: true}))
	must.Len(t, 0, s.announce(session.AnnounceRequest{Peers: []session.Peer{other}, Discovered: true}))
	must.Len(t, 5, s.announce(session.AnnounceRequest{Peers: []session.Peer{other}}))
}
