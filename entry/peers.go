package entry

import (
	"sync"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// peers keeps, for each sidecar, the last message received from it. A permit
// sent to the sidecar names that message; see wire.Permit.
type peers struct {
	mu   sync.Mutex
	last map[model.Incarnation]uint64
}

func newPeers() *peers {
	return &peers{last: make(map[model.Incarnation]uint64)}
}

// heard notes a message. Messages may arrive out of order; the highest counts.
func (p *peers) heard(sidecar model.Incarnation, message uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if message > p.last[sidecar] {
		p.last[sidecar] = message
	}
}

// echo returns the last message of the sidecar, 0 when there was none.
func (p *peers) echo(sidecar model.Incarnation) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.last[sidecar]
}

// forget drops a sidecar that is gone.
func (p *peers) forget(sidecar model.Incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.last, sidecar)
}

// permitSource computes the permits that this entry may grant.
type permitSource interface {
	// Permit returns the permit for the target at this moment.
	Permit(target *wire.Target) wire.Permit
}
