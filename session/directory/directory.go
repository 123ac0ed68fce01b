// Package directory keeps the peers that one process knows, with the newest
// known incarnation of each. Its contents are hints: only an open connection to
// a peer shows that the peer is alive.
package directory

import (
	"maps"
	"slices"
	"sync"

	"github.com/figring/figring/session"
)

// Directory is a set of peers by name. It is safe for concurrent use.
type Directory struct {
	mu      sync.Mutex
	peers   map[string]session.Peer
	version uint64
	changed chan struct{}
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{peers: make(map[string]session.Peer), changed: make(chan struct{}, 1)}
}

// AddSeed adds an address at which an entry may be reached. The seed stays until
// it is removed. It is not sent to other processes.
func (d *Directory) AddSeed(name, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers[name] = session.Peer{Name: name, Role: session.RoleEntry, Address: address}
	d.notify()
}

// Seeds returns the seeds that were added and not removed.
func (d *Directory) Seeds() []session.Peer {
	return d.where(func(peer session.Peer) bool { return peer.Boot == "" })
}

// Merge adds the peers that are unknown, and replaces those that are known with
// an earlier incarnation. It ignores peers without a name, address or boot.
func (d *Directory) Merge(peers ...session.Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, peer := range peers {
		known, ok := d.peers[peer.Name]
		if peer.Name == "" || peer.Address == "" || peer.Boot == "" || (ok && known.Boot >= peer.Boot) {
			continue
		}
		d.peers[peer.Name] = peer
		d.notify()
	}
}

// Remove removes a peer, unless another incarnation of it is known by now.
func (d *Directory) Remove(peer session.Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.peers[peer.Name].Boot == peer.Boot {
		delete(d.peers, peer.Name)
		d.notify()
	}
}

// notify increases the version and signals Changed. The caller holds the lock.
func (d *Directory) notify() {
	d.version++
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

// Version returns a number that increases with each change.
func (d *Directory) Version() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version
}

// Changed returns a channel that receives a value after a change. Changes that
// follow each other quickly may share one value.
func (d *Directory) Changed() <-chan struct{} { return d.changed }

// All returns all peers except the seeds, ordered by name.
func (d *Directory) All() []session.Peer {
	return d.where(func(peer session.Peer) bool { return peer.Boot != "" })
}

// WithRole returns the peers of All that have the role.
func (d *Directory) WithRole(role session.Role) []session.Peer {
	return d.where(func(peer session.Peer) bool { return peer.Boot != "" && peer.Role == role })
}

// where returns the peers for which wanted returns true, ordered by name.
func (d *Directory) where(wanted func(session.Peer) bool) []session.Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	var found []session.Peer
	for _, name := range slices.Sorted(maps.Keys(d.peers)) {
		if wanted(d.peers[name]) {
			found = append(found, d.peers[name])
		}
	}
	return found
}

// Get returns the peer or seed with the name.
func (d *Directory) Get(name string) (session.Peer, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	peer, ok := d.peers[name]
	return peer, ok
}
