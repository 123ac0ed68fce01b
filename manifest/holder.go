package manifest

import (
	"sync"
	"time"
)

// Holder keeps the newest snapshot that the process has seen from anybody.
// It is safe for concurrent use.
type Holder struct {
	mu       sync.Mutex
	newest   Snapshot
	newestAt    time.Time
	watchers []chan Snapshot
}

// Newest returns the newest snapshot; the zero value before the first.
func (h *Holder) Newest() Snapshot {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.newest
}

// Offer takes the snapshot if it is newer than the one held and reports
// whether it was. A manifest of a lower version than the one held is never
// taken, whatever the table's version says.
func (h *Holder) Offer(offered Snapshot) bool {
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

func (h *Holder) regresses(offered Snapshot) bool {
	if h.newest.Manifest == nil {
		return false
	}
	return offered.Manifest == nil || offered.Manifest.Version < h.newest.Manifest.Version
}

// Watch returns a channel that always holds the newest snapshot not yet
// received; older ones are dropped.
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

// replaceBuffered leaves only the snapshot in the channel. The holder's lock makes it
// the only sender.
func replaceBuffered(watcher chan Snapshot, newest Snapshot) {
	select {
	case <-watcher:
	default:
	}
	watcher <- newest
}

// peerUpdateDelay is how long a snapshot is held before it is handed to peers that
// lack it: most of them read it from the table themselves by then.
const peerUpdateDelay = 250 * time.Millisecond

// UpdateFor returns the newest snapshot for a peer that knows the version, or nil
// when it lacks nothing or is about to read it itself.
func (h *Holder) UpdateFor(known int64) *Snapshot {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.newest.Version <= known || time.Since(h.newestAt) < peerUpdateDelay {
		return nil
	}
	newest := h.newest
	return &newest
}
