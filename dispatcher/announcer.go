package dispatcher

import (
	"context"
	"time"

	"github.com/figring/figring/common/pause"
	"github.com/figring/figring/session"
	"github.com/figring/figring/session/link"
)

const (
	// announceInterval is the interval between two announcements of an entry. In a large
	// fleet that starts as a whole, announcements at once would keep each entry busy with
	// those of all others.
	announceInterval = 100 * time.Millisecond
	// announceRetry is the time after which a failed announcement is repeated.
	announceRetry = 500 * time.Millisecond
	// maxAnnounceTries bounds the announcements to one incarnation of an entry.
	// Other entries also discover this one through the table or through sidecars.
	maxAnnounceTries = 8
)

// announcer announces the entry to each other entry once.
type announcer struct {
	dispatcher *Dispatcher
	// tries has the number of announcements, and nextTry when the next one is due, by
	// name and incarnation of the other entry.
	tries   map[string]int
	nextTry map[string]time.Time
}

// announce announces this entry to the others, one at a time, until ctx ends.
func (d *Dispatcher) announce(ctx context.Context) {
	a := &announcer{dispatcher: d, tries: make(map[string]int), nextTry: make(map[string]time.Time)}
	for ctx.Err() == nil {
		if entry, ok := a.next(time.Now()); ok {
			a.announceTo(ctx, entry)
		}
		// For fails only when ctx ends, which the loop condition checks.
		_ = pause.For(ctx, announceInterval)
	}
}

// next returns an entry to which an announcement is due. Seeds are asked for the peers
// that they know as long as the entry has not read them from the table.
func (a *announcer) next(now time.Time) (session.Peer, bool) {
	d := a.dispatcher
	targets := d.deps.Directory.WithRole(session.RoleEntry)
	if !d.deps.PeersDiscovered() {
		targets = append(d.deps.Directory.Seeds(), targets...)
	}
	for _, entry := range targets {
		key := entry.Name + entry.Boot
		if entry.Name != d.settings.Self.Name && a.tries[key] < maxAnnounceTries && !now.Before(a.nextTry[key]) {
			return entry, true
		}
	}
	return session.Peer{}, false
}

// announceTo sends one announcement. A failure is not logged: the other entry is no
// dependency of this one, and the sidecars announce this one to it as well.
func (a *announcer) announceTo(ctx context.Context, entry session.Peer) {
	d := a.dispatcher
	key := entry.Name + entry.Boot
	a.tries[key]++
	a.nextTry[key] = time.Now().Add(announceRetry)
	request := session.AnnounceRequest{
		Peers:      []session.Peer{d.settings.Self},
		Discovered: d.deps.PeersDiscovered(),
	}
	if link.Announce(ctx, entry, d.settings.Secret, &request, d.deps.Directory) == nil {
		a.tries[key] = maxAnnounceTries
	}
}
