package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/figring/figring/common/pause"
	"github.com/figring/figring/decision/subset"
	"github.com/figring/figring/session"
)

const (
	// orderQueueSize is the capacity of the queue of orders to one sidecar.
	orderQueueSize = 1024
	// minDialBackoff and maxDialBackoff bound the backoff between attempts to open
	// a session with a sidecar.
	minDialBackoff = 40 * time.Millisecond
	maxDialBackoff = 400 * time.Millisecond
	// longOutageDialInterval is the pause between attempts once a sidecar has been
	// unreachable for longOutage.
	longOutageDialInterval = 3 * time.Second
	longOutage             = 15 * time.Second
	// forgetAfter is how long a sidecar may be unreachable before it is removed
	// from the directory; a sidecar that is alive announces itself again.
	forgetAfter = time.Minute
	// linkPassInterval is the least time between two passes over all sidecars.
	linkPassInterval = 10 * time.Millisecond
	// dismissedFor is how long the entry opens no session with a sidecar that has
	// enough other entries, unless the sidecar asks for one.
	dismissedFor = time.Minute
)

// links are the links to the sidecars with which the entry keeps sessions.
type links struct {
	mu   sync.Mutex
	open map[string]*sidecarLink
	// invited are the sidecars that have asked this entry for a session.
	invited map[string]bool
	// dismissed has the time at which a sidecar dismissed this entry because it
	// had enough others.
	dismissed map[string]time.Time
	// invitations receives a value after a sidecar has asked for a session.
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

// invite records that a sidecar has asked for a session.
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

// dismiss records that a sidecar has enough other entries.
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
	return subset.InSubset(self, sidecar, fleet)
}

// get returns the link to a sidecar, nil when there is none.
func (l *links) get(sidecar string) *sidecarLink {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open[sidecar]
}

// count returns the number of sidecars with which the entry should have sessions.
func (l *links) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

func (l *links) remove(sidecar string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, sidecar)
}

// maintainLinks keeps a link to each sidecar with which the entry should have a
// session, until ctx ends.
func (d *Dispatcher) maintainLinks(ctx context.Context) {
	var wait sync.WaitGroup
	defer wait.Wait()
	for {
		discovered := d.deps.PeersDiscovered()
		sidecars := d.deps.Directory.WithRole(session.RoleSidecar)
		d.sidecars.Store(int64(len(sidecars)))
		entries := d.entries()
		d.knownEntries.Store(int64(len(entries)))
		fleet := subset.Fleet{Entries: entries, Sidecars: len(sidecars), SidecarsPerEntry: d.settings.SidecarsPerEntry}
		for _, peer := range sidecars {
			d.ensureLink(ctx, peer, fleet, &wait)
		}
		if discovered {
			d.expectedSidecars.Store(int64(d.links.count()))
		}
		select {
		case <-d.deps.Directory.Changed():
		case <-d.links.invitations:
		case <-ctx.Done():
			return
		}
		// The changes of a fleet that starts as a whole share a pass. The loop's select
		// handles the end of ctx.
		_ = pause.For(ctx, linkPassInterval)
	}
}

// entries returns the known entries, including this one.
func (d *Dispatcher) entries() []session.Peer {
	d.deps.Directory.Merge(d.settings.Self)
	return d.deps.Directory.WithRole(session.RoleEntry)
}

// ensureLink starts a link to a sidecar if one is wanted and there is none. It
// tells an existing link the sidecar's newest known incarnation, on which the
// link may retry at once.
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

// enqueue passes a request to the link of a sidecar. It must be called from the
// loop.
func (d *Dispatcher) enqueue(name string, request any) {
	if sidecar := d.links.get(name); sidecar != nil {
		sidecar.enqueue(request)
	}
}
