package entry

import (
	"sync"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// messageTracker records the number of the last message received from each
// sidecar. A permit names that message as wire.Permit.Echo.
type messageTracker struct {
	mu   sync.Mutex
	last map[model.Incarnation]uint64
}

func newMessageTracker() *messageTracker {
	return &messageTracker{last: make(map[model.Incarnation]uint64)}
}

// record stores the number of a message from the sidecar. Messages may arrive
// out of order, so the highest number is kept.
func (p *messageTracker) record(sidecar model.Incarnation, message uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if message > p.last[sidecar] {
		p.last[sidecar] = message
	}
}

// lastMessage returns the highest message number received from the sidecar, 0
// when there is none.
func (p *messageTracker) lastMessage(sidecar model.Incarnation) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.last[sidecar]
}

// remove deletes the record of a sidecar that no longer exists.
func (p *messageTracker) remove(sidecar model.Incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.last, sidecar)
}

// permitSource computes the permits that this entry may grant.
type permitSource interface {
	// Permit returns the permit that the target may be granted now.
	Permit(target *wire.Target) wire.Permit
}
