package instance

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/session"
	"github.com/figring/figring/session/link"
)

func TestAnnouncingSidecarIsSentAllSidecars(t *testing.T) {
	s := newSystem(t, 3, 2)
	request := session.AnnounceRequest{Peers: []session.Peer{{Name: "side-0", Role: session.RoleSidecar}}}
	var reply session.AnnounceReply
	must.NoError(t, link.CallOnce(t.Context(), s.address(entryHost, s.port), testSecret, session.MethodAnnounce, &request, &reply, 5*time.Second))
	must.Len(t, 2, reply.Peers)
	for _, peer := range reply.Peers {
		must.EqOp(t, session.RoleEntry, peer.Role)
	}
}
