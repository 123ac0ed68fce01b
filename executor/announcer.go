package executor

import (
	"context"
	"time"

	"github.com/figring/figring/common/pause"
	"github.com/figring/figring/session"
	"github.com/figring/figring/session/link"
)

const (
	// announceInterval is how often entries without a session are told that
	// the sidecar exists.
	announceInterval = 300 * time.Millisecond
	// announceTimeout bounds one announcement.
	announceTimeout = 500 * time.Millisecond
	// maxAnnouncePause bounds the pause between tries at one entry.
	maxAnnouncePause = 5 * time.Second
)

// announce tells entries that the sidecar exists until each has a session.
func (e *Executor) announce(ctx context.Context) {
	next := make(map[string]time.Time)
	pauses := make(map[string]time.Duration)
	for ctx.Err() == nil {
		for _, entry := range e.parts.Directory.Of(session.RoleEntry) {
			if e.connected(entry.Name) {
				delete(pauses, entry.Name)
				continue
			}
			if time.Now().Before(next[entry.Name]) {
				continue
			}
			e.announceTo(ctx, entry)
			pauses[entry.Name] = min(max(pauses[entry.Name]*2, announceInterval), maxAnnouncePause)
			next[entry.Name] = time.Now().Add(pauses[entry.Name])
		}
		_ = pause.For(ctx, announceInterval)
	}
}

// announceTo makes one try; the entry dials back. A failure needs no line: the
// entry's session tells of its success.
func (e *Executor) announceTo(ctx context.Context, entry session.Peer) {
	client, err := link.Dial(ctx, entry.Address, e.settings.Secret)
	if err != nil {
		e.meters.announceFailed.Inc(1)
		return
	}
	defer client.Close()
	request := session.AnnounceRequest{Peers: append(e.parts.Directory.Of(session.RoleEntry), e.settings.Self)}
	var reply session.AnnounceReply
	if err := client.Call(ctx, session.MethodAnnounce, &request, &reply, announceTimeout); err != nil {
		e.meters.announceFailed.Inc(1)
		return
	}
	if entry.Boot == "" {
		// A seed has told its name and the others by now.
		e.parts.Directory.Remove(entry)
	}
	e.parts.Directory.Merge(reply.Peers...)
}
