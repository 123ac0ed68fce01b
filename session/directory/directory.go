// Package directory keeps the processes of the system that one process knows
// of, with the newest life of each. What it holds are hints: a process is only
// known to live while a connection to it does.
package directory

import (
	"maps"
	"slices"
	"sync"

	"github.com/figring/figring/session"
)

// Directory is safe for concurrent use.
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

// AddSeed takes an address where an entry may be found. It stays until it is
// removed, and is not to be told to others.
func (d *Directory) AddSeed(name, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers[name] = session.Peer{Name: name, Role: session.RoleEntry, Address: address}
	d.notify()
}

// Seeds returns the addresses that were added and not removed.
func (d *Directory) Seeds() []session.Peer {
	return d.where(func(peer session.Peer) bool { return peer.Boot == "" })
}

// Merge takes peers that are unknown, or known by a former life.
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

// Remove forgets a peer, unless a newer life of it is known by now.
func (d *Directory) Remove(peer session.Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.peers[peer.Name].Boot == peer.Boot {
		delete(d.peers, peer.Name)
		d.notify()
	}
}

// notify counts a change and tells of it. The caller holds the lock.
func (d *Directory) notify() {
	d.version++
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

// Version returns a number that rises with each change.
func (d *Directory) Version() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version
}

// Changed receives a value after a change.
func (d *Directory) Changed() <-chan struct{} { return d.changed }

// All returns all peers of which a life is known, in the order of their names.
func (d *Directory) All() []session.Peer {
	return d.where(func(peer session.Peer) bool { return peer.Boot != "" })
}

// WithRole returns those of All that have the role.
func (d *Directory) WithRole(role session.Role) []session.Peer {
	return d.where(func(peer session.Peer) bool { return peer.Boot != "" && peer.Role == role })
}

// where returns the peers of a kind in the order of their names.
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

// Get returns the peer of the name.
func (d *Directory) Get(name string) (session.Peer, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	peer, ok := d.peers[name]
	return peer, ok
}
