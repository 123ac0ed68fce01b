package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/figring/figring/decision/subset"
	"github.com/figring/figring/session"
)

const (
	// orderQueueSize is the number of orders that wait for one sidecar's link.
	orderQueueSize = 1024
	// minDialBackoff and maxDialPause bound the pause between tries at a sidecar.
	minDialBackoff = 40 * time.Millisecond
	maxDialBackoff = 400 * time.Millisecond
	// longOutageDialInterval is the pause once a sidecar was away for long.
	longOutageDialInterval = 3 * time.Second
	longOutage             = 15 * time.Second
	// forgetAfter is how long a sidecar may be away before its address is
	// forgotten; a living one announces itself.
	forgetAfter = time.Minute
	// dismissedFor is how long the entry leaves a sidecar alone that has enough
	// other entries, unless the sidecar asks for a session.
	dismissedFor = time.Minute
)

// links are the links to the sidecars that the entry keeps sessions with.
type links struct {
	mu   sync.Mutex
	open map[string]*sidecarLink
	// invited are the sidecars that have asked for a session.
	invited map[string]bool
	// dismissed says when a sidecar had enough other entries.
	dismissed map[string]time.Time
	// invitations receives a value after an invitation.
	invitations chan struct{}
}

func newLinks() *links {
	return &links{
		open:        make(map[string]*sidecarLink),
		invited:     make(map[string]bool),
		dismissed:   make(map[string]time.Time),
		invitations: make(chan struct{}, 1),
	}
}

// invite takes note that a sidecar has asked for a session.
func (l *links) invite(sidecar string) {
	l.mu.Lock()
	l.invited[sidecar] = true
	delete(l.dismissed, sidecar)
	l.mu.Unlock()
	select {
	case l.invitations <- struct{}{}:
	default:
	}
}

// dismiss takes note that a sidecar has enough other entries.
func (l *links) dismiss(sidecar string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.invited, sidecar)
	l.dismissed[sidecar] = time.Now()
}

// wanted reports whether the entry should have a session with the sidecar. The
// caller holds the lock.
func (l *links) wanted(self string, sidecar session.Peer, fleet subset.Fleet) bool {
	if l.invited[sidecar.Name] {
		return true
	}
	if at, ok := l.dismissed[sidecar.Name]; ok && time.Since(at) < dismissedFor {
		return false
	}
	return subset.Chosen(self, sidecar, fleet)
}

// get returns the link to a sidecar, nil when there is none.
func (l *links) get(sidecar string) *sidecarLink {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open[sidecar]
}

func (l *links) remove(sidecar string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, sidecar)
}

// maintainLinks keeps a link to each sidecar that the entry serves.
func (d *Dispatcher) maintainLinks(ctx context.Context) {
	var wait sync.WaitGroup
	defer wait.Wait()
	for {
		sidecars := d.deps.Directory.WithRole(session.RoleSidecar)
		d.sidecars.Store(int64(len(sidecars)))
		fleet := subset.Fleet{Entries: d.entries(), Sidecars: len(sidecars), SidecarsPerEntry: d.settings.SidecarsPerEntry}
		for _, peer := range sidecars {
			d.ensureLink(ctx, peer, fleet, &wait)
		}
		select {
		case <-d.deps.Directory.Changed():
		case <-d.links.invitations:
		case <-ctx.Done():
			return
		}
	}
}

// entries returns the known entries with this one.
func (d *Dispatcher) entries() []session.Peer {
	d.deps.Directory.Merge(d.settings.Self)
	return d.deps.Directory.WithRole(session.RoleEntry)
}

// ensureLink starts a link to a wanted sidecar that has none, and tells a waiting
// one that a newer life of its sidecar is known.
func (d *Dispatcher) ensureLink(ctx context.Context, peer session.Peer, fleet subset.Fleet, wait *sync.WaitGroup) {
	d.links.mu.Lock()
	defer d.links.mu.Unlock()
	if known, ok := d.links.open[peer.Name]; ok {
		known.observeBoot(peer.Boot)
		return
	}
	if !d.links.wanted(d.settings.Self.Name, peer, fleet) {
		return
	}
	created := &sidecarLink{dispatcher: d, name: peer.Name, newBoot: make(chan struct{}, 1), boot: peer.Boot}
	d.links.open[peer.Name] = created
	wait.Go(func() {
		created.run(ctx)
		d.links.remove(peer.Name)
	})
}

// enqueue hands a request to the link of a sidecar. The loop alone calls it.
func (d *Dispatcher) enqueue(name string, request any) {
	if sidecar := d.links.get(name); sidecar != nil {
		sidecar.enqueue(request)
	}
}
