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
	mu    sync.Mutex
	peers map[string]session.Peer
	// sorted are the peers by name, or nil after a change until it is needed again.
	sorted []session.Peer
	// changedAt has the version with which each peer was added or replaced.
	changedAt map[string]uint64
	version   uint64
	changed   chan struct{}
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{
		peers:     make(map[string]session.Peer),
		changedAt: make(map[string]uint64),
		changed:   make(chan struct{}, 1),
	}
}

// AddSeed adds an address at which an entry may be reached. The seed stays until
// it is removed. It is not sent to other processes.
func (d *Directory) AddSeed(name, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.set(session.Peer{Name: name, Role: session.RoleEntry, Address: address})
}

// Seeds returns the seeds that were added and not removed.
func (d *Directory) Seeds() []session.Peer {
	return d.lockedWhere(func(peer session.Peer) bool { return peer.Boot == "" })
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
		d.set(peer)
	}
}

// set adds or replaces a peer. The caller holds the lock.
func (d *Directory) set(peer session.Peer) {
	d.peers[peer.Name] = peer
	d.notify()
	d.changedAt[peer.Name] = d.version
}

// Remove removes a peer, unless another incarnation of it is known by now.
func (d *Directory) Remove(peer session.Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.peers[peer.Name].Boot == peer.Boot {
		delete(d.peers, peer.Name)
		delete(d.changedAt, peer.Name)
		d.notify()
	}
}

// notify increases the version and signals Changed. The caller holds the lock.
func (d *Directory) notify() {
	d.version++
	d.sorted = nil
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

// ChangedSince returns the peers with the role that were added or replaced after the
// version, and the current version. Version 0 is before the first change.
func (d *Directory) ChangedSince(version uint64, role session.Role) ([]session.Peer, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if version == d.version {
		return nil, version
	}
	changed := d.where(func(peer session.Peer) bool {
		return peer.Boot != "" && peer.Role == role && d.changedAt[peer.Name] > version
	})
	return changed, d.version
}

// Changed returns a channel that receives a value after a change. Changes that
// follow each other quickly may share one value.
func (d *Directory) Changed() <-chan struct{} { return d.changed }

// All returns all peers except the seeds, ordered by name.
func (d *Directory) All() []session.Peer {
	return d.lockedWhere(func(peer session.Peer) bool { return peer.Boot != "" })
}

// WithRole returns the peers of All that have the role.
func (d *Directory) WithRole(role session.Role) []session.Peer {
	return d.lockedWhere(func(peer session.Peer) bool { return peer.Boot != "" && peer.Role == role })
}

func (d *Directory) lockedWhere(wanted func(session.Peer) bool) []session.Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.where(wanted)
}

// where returns the peers for which wanted returns true, ordered by name. The caller
// holds the lock.
func (d *Directory) where(wanted func(session.Peer) bool) []session.Peer {
	if d.sorted == nil {
		for _, name := range slices.Sorted(maps.Keys(d.peers)) {
			d.sorted = append(d.sorted, d.peers[name])
		}
	}
	var found []session.Peer
	for _, peer := range d.sorted {
		if wanted(peer) {
			found = append(found, peer)
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
