package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/figring/figring/session"
)

const (
	// orderRing is the number of orders that wait for one sidecar's link.
	orderRing = 1024
	// minDialPause and maxDialPause bound the pause between tries at a sidecar.
	minDialPause = 40 * time.Millisecond
	maxDialPause = 400 * time.Millisecond
	// farDialPause is the pause once a sidecar was away for long.
	farDialPause = 3 * time.Second
	longAway     = 15 * time.Second
	// forgetAfter is how long a sidecar may be away before its address is
	// forgotten; a living one announces itself.
	forgetAfter = time.Minute
)

// keepLinks keeps a link to each known sidecar.
func (d *Dispatcher) keepLinks(ctx context.Context) {
	var wait sync.WaitGroup
	defer wait.Wait()
	for {
		for _, peer := range d.parts.Directory.Of(session.RoleSidecar) {
			d.keepLink(ctx, peer, &wait)
		}
		select {
		case <-d.parts.Directory.Changed():
		case <-ctx.Done():
			return
		}
	}
}

// keepLink starts a link to a sidecar that has none, and tells a waiting one
// that a newer life of its sidecar is known.
func (d *Dispatcher) keepLink(ctx context.Context, peer session.Peer, wait *sync.WaitGroup) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if known, ok := d.links[peer.Name]; ok {
		known.hint(peer.Boot)
		return
	}
	created := &sidecarLink{dispatcher: d, name: peer.Name, hints: make(chan struct{}, 1), boot: peer.Boot}
	d.links[peer.Name] = created
	wait.Go(func() {
		created.run(ctx)
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.links, peer.Name)
	})
}

// enqueue hands a request to the link of a sidecar. The loop alone calls it.
func (d *Dispatcher) enqueue(name string, request any) {
	d.mu.Lock()
	target := d.links[name]
	d.mu.Unlock()
	if target != nil {
		target.enqueue(request)
	}
}
