package dispatcher

import (
	"context"
	"time"

	"github.com/figring/figring/common/pause"
	"github.com/figring/figring/session"
	"github.com/figring/figring/session/link"
)

const (
	// announceInterval is the interval at which an entry announces itself to the
	// entries that have not received an announcement yet.
	announceInterval = 500 * time.Millisecond
	// maxAnnounceTries bounds the announcements to one incarnation of an entry.
	// Other entries also discover this one through the table or through sidecars.
	maxAnnounceTries = 8
)

// announce announces this entry to each other entry once, and merges the peers
// that the other entry knows into the directory.
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

// announceTo sends one announcement and reports whether it succeeded. A failure
// is not logged: the other entry is no dependency of this one, and the sidecars
// announce this one to it as well.
func (d *Dispatcher) announceTo(ctx context.Context, entry session.Peer) bool {
	self := []session.Peer{d.settings.Self}
	return link.Announce(ctx, entry, d.settings.Secret, self, d.deps.Directory) == nil
}
