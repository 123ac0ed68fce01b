package link

import (
	"context"
	"time"

	"github.com/figring/figring/session"
	"github.com/figring/figring/session/directory"
)

// announceTimeout bounds one announcement, after the connection is open.
const announceTimeout = 500 * time.Millisecond

// Announce sends an entry the request and merges the peers of the reply into the
// directory. The entry may be a seed, which is then removed: the reply has the entry that
// it stands for under its own name.
func Announce(ctx context.Context, entry session.Peer, secret string, request *session.AnnounceRequest, known *directory.Directory) error {
	var reply session.AnnounceReply
	if err := CallOnce(ctx, entry.Address, secret, session.MethodAnnounce, request, &reply, announceTimeout); err != nil {
		return err
	}
	if entry.Boot == "" {
		known.Remove(entry)
	}
	known.Merge(reply.Peers...)
	return nil
}
