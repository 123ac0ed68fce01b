package dispatcher

import (
	"context"
	"time"

	"github.com/figring/figring/common/pause"
	"github.com/figring/figring/session"
	"github.com/figring/figring/session/link"
)

const (
	// announceInterval is how often an entry tries others that have not heard
	// of it.
	announceInterval = 500 * time.Millisecond
	announceTimeout  = 500 * time.Millisecond
	// maxAnnounceTries bounds the tries at one life of an entry: others learn
	// of this one from the table or from sidecars too.
	maxAnnounceTries = 8
)

// announce tells each other entry once that this one exists, and learns from
// it which processes there are.
func (d *Dispatcher) announce(ctx context.Context) {
	tries := make(map[string]int)
	for ctx.Err() == nil {
		for _, entry := range append(d.deps.Directory.WithRole(session.RoleEntry), d.deps.Directory.Seeds()...) {
			key := entry.Name + entry.Boot
			if entry.Name == d.settings.Self.Name || tries[key] >= maxAnnounceTries {
				continue
			}
			tries[key]++
			if d.announceTo(ctx, entry) {
				tries[key] = maxAnnounceTries
			}
		}
		_ = pause.For(ctx, announceInterval)
	}
}

// announceTo makes one try. A failure needs no line: the other entry is no
// dependency of this one, and sidecars tell of it too.
func (d *Dispatcher) announceTo(ctx context.Context, entry session.Peer) bool {
	request := session.AnnounceRequest{Peers: []session.Peer{d.settings.Self}}
	var reply session.AnnounceReply
	err := link.CallOnce(ctx, entry.Address, d.settings.Secret, session.MethodAnnounce, &request, &reply, announceTimeout)
	if err != nil {
		return false
	}
	if entry.Boot == "" {
		// A seed has told its name and the others by now.
		d.deps.Directory.Remove(entry)
	}
	d.deps.Directory.Merge(reply.Peers...)
	return true
}
