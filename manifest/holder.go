package manifest

import (
	"slices"
	"sync"
)

// Holder stores the newest manifest and the newest list of evacuated zones that the
// process has received from any source: the platform's table or a peer. The two are
// compared separately, because the version of the table also changes with writes that
// concern neither of them.
// It is safe for concurrent use.
type Holder struct {
	// OnAdopt, if set, is called after each change of the newest snapshot, with the
	// source from which the change came. It must be set before the first Offer.
	OnAdopt func(source string, newest Snapshot)

	mu     sync.Mutex
	newest Snapshot
	// manifestReadAt is the version of the table at which the newest manifest was read,
	// or 0 if a peer sent it.
	manifestReadAt int64
	watchers       []chan Snapshot
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

// Offer adopts the parts of the snapshot that are newer than the stored ones. If this
// changes the manifest or the evacuated zones, it sends the result to the watchers and
// returns true.
func (h *Holder) Offer(source string, offered Snapshot) bool {
	newest, changed := h.merge(offered)
	if changed && h.OnAdopt != nil {
		h.OnAdopt(source, newest)
	}
	return changed
}

// merge returns the newest snapshot after the offer, and whether its contents have
// changed.
func (h *Holder) merge(offered Snapshot) (Snapshot, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed := false
	if h.replacesManifest(offered) {
		h.newest.Manifest = offered.Manifest
		h.manifestReadAt = offered.Version
		changed = true
	}
	if offered.Version > h.newest.Version {
		changed = changed || !slices.Equal(offered.EvacuatedZones, h.newest.EvacuatedZones)
		h.newest.Version = offered.Version
		h.newest.EvacuatedZones = offered.EvacuatedZones
	}
	if changed {
		for _, watcher := range h.watchers {
			replaceBuffered(watcher, h.newest)
		}
	}
	return h.newest, changed
}

// replacesManifest reports whether the offered manifest replaces the stored one. One that
// was written again under its version replaces what was read earlier. The caller holds
// the lock.
func (h *Holder) replacesManifest(offered Snapshot) bool {
	if offered.Manifest == nil || offered.Manifest == h.newest.Manifest {
		return false
	}
	if h.newest.Manifest == nil {
		return true
	}
	if offered.Manifest.Version == h.newest.Manifest.Version {
		return offered.Version > h.manifestReadAt
	}
	return offered.Manifest.Version > h.newest.Manifest.Version
}

// Watch returns a channel that buffers the newest snapshot not yet received. Older
// snapshots that were not received are dropped.
func (h *Holder) Watch() <-chan Snapshot {
	watcher := make(chan Snapshot, 1)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.watchers = append(h.watchers, watcher)
	if h.newest.Version > 0 || h.newest.Manifest != nil {
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

// OfferZones is Offer for a snapshot without a manifest.
func (h *Holder) OfferZones(source string, offered Zones) bool {
	return h.Offer(source, Snapshot{Version: offered.Version, EvacuatedZones: offered.Evacuated})
}

// ZonesFor returns the newest zones for a peer whose snapshot has the known version, or
// nil if the peer is up to date.
func (h *Holder) ZonesFor(known int64) *Zones {
	newest := h.Newest()
	if newest.Version <= known {
		return nil
	}
	return &Zones{Version: newest.Version, Evacuated: newest.EvacuatedZones}
}
