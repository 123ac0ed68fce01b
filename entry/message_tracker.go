package entry

import (
	"sync"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// messageTracker keeps, for each sidecar, the last message received from it. A permit
// sent to the sidecar names that message; see wire.Permit.
type messageTracker struct {
	mu   sync.Mutex
	last map[model.Incarnation]uint64
}

func newMessageTracker() *messageTracker {
	return &messageTracker{last: make(map[model.Incarnation]uint64)}
}

// record notes a message. Messages may arrive out of order; the highest counts.
func (p *messageTracker) record(sidecar model.Incarnation, message uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if message > p.last[sidecar] {
		p.last[sidecar] = message
	}
}

// lastMessage returns the last message of the sidecar, 0 when there was none.
func (p *messageTracker) lastMessage(sidecar model.Incarnation) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.last[sidecar]
}

// remove drops a sidecar that is gone.
func (p *messageTracker) remove(sidecar model.Incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.last, sidecar)
}

// permitSource computes the permits that this entry may grant.
type permitSource interface {
	// Permit returns the permit for the target at this moment.
	Permit(target *wire.Target) wire.Permit
}
