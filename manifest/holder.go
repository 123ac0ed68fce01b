package manifest

import (
	"sync"
	"time"
)

// Holder stores the newest snapshot that the process has received from any source:
// the platform's table or a peer.
// It is safe for concurrent use.
type Holder struct {
	// OnAdopt, if set, is called after each change of the newest snapshot, with the
	// source from which the snapshot came. It must be set before the first Offer.
	OnAdopt func(source string, newest Snapshot)

	mu       sync.Mutex
	newest   Snapshot
	newestAt time.Time
	watchers []chan Snapshot
}

// Newest returns the newest snapshot, or the zero value if there was none yet.
func (h *Holder) Newest() Snapshot {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.newest
}

// SourceTable is the source of the snapshots that were read from the platform's
// table. The source of any other snapshot is the name of a peer.
const SourceTable = "table"

// Offer stores the snapshot if it is newer than the stored one, sends it to the
// watchers, and reports whether it did so. It rejects a manifest whose version is
// lower than that of the stored manifest, even if the snapshot's table version is
// higher.
func (h *Holder) Offer(source string, offered Snapshot) bool {
	if !h.adopt(offered) {
		return false
	}
	if h.OnAdopt != nil {
		h.OnAdopt(source, offered)
	}
	return true
}

func (h *Holder) adopt(offered Snapshot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if offered.Version <= h.newest.Version {
		return false
	}
	if h.regresses(offered) {
		return false
	}
	h.newest = offered
	h.newestAt = time.Now()
	for _, watcher := range h.watchers {
		replaceBuffered(watcher, offered)
	}
	return true
}

// regresses reports whether the offered snapshot would remove the stored manifest
// or replace it by an older one. The caller holds the lock.
func (h *Holder) regresses(offered Snapshot) bool {
	if h.newest.Manifest == nil {
		return false
	}
	return offered.Manifest == nil || offered.Manifest.Version < h.newest.Manifest.Version
}

// Watch returns a channel that buffers the newest snapshot not yet received. Older
// snapshots that were not received are dropped.
func (h *Holder) Watch() <-chan Snapshot {
	watcher := make(chan Snapshot, 1)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.watchers = append(h.watchers, watcher)
	if h.newest.Version > 0 {
		watcher <- h.newest
	}
	return watcher
}

// replaceBuffered discards the snapshot buffered in the channel, if any, and sends
// the newest one. The caller holds the holder's lock, which makes it the only
// sender, so the send does not block.
func replaceBuffered(watcher chan Snapshot, newest Snapshot) {
	select {
	case <-watcher:
	default:
	}
	watcher <- newest
}

// peerUpdateDelay is the minimum age of a snapshot before it is sent to peers that
// lack it. By then most peers have read it from the table themselves.
const peerUpdateDelay = 250 * time.Millisecond

// UpdateFor returns the newest snapshot for a peer whose snapshot has the known
// version. It returns nil if the peer is up to date, or if the snapshot is younger
// than peerUpdateDelay, because the peer is then likely to read it from the table.
func (h *Holder) UpdateFor(known int64) *Snapshot {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.newest.Version <= known || time.Since(h.newestAt) < peerUpdateDelay {
		return nil
	}
	newest := h.newest
	return &newest
}
