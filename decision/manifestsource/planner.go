package manifestsource

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// readDelay is how long an entry that has a manifest waits for its own read of a
	// newer one. An entry without a manifest can't serve, so it does not wait.
	readDelay = 500 * time.Millisecond
	// minTimeout bounds the first fetch of a version. Each timeout doubles it, up to
	// maxTimeout, because the link may be too slow for the manifest.
	minTimeout = time.Second
	maxTimeout = 8 * time.Second
	// retryDelay is the pause after every sidecar has failed once.
	retryDelay = 200 * time.Millisecond
)

// Fetch is one attempt to get the manifest. A zero Fetch means that there is nothing to
// fetch now.
type Fetch struct {
	Sidecar string
	Timeout time.Duration
}

// Planner plans the fetches of one entry. It plans one at a time: Next must not be called
// between a Fetch and its outcome. It is not safe for concurrent use.
type Planner struct {
	random *rand.Rand
	// version is that of the entry's manifest; 0 means that it has none.
	version int64
	// newer has the versions that sidecars reported and the entry lacks.
	newer map[string]int64
	// failed are the sidecars in newer that have not delivered since all had failed or
	// a version was adopted.
	failed  map[string]bool
	timeout time.Duration
	// earliest is when the next fetch may begin.
	earliest time.Time
}

// New returns a planner for an entry without a manifest.
func New(random *rand.Rand) *Planner {
	return &Planner{random: random, newer: make(map[string]int64), failed: make(map[string]bool), timeout: minTimeout}
}

// Reported records the version of a sidecar's manifest, and returns whether it is newer
// than the entry's.
func (p *Planner) Reported(now time.Time, sidecar string, version int64) bool {
	if version <= p.version {
		p.Forget(sidecar)
		return false
	}
	if len(p.newer) == 0 {
		p.delayAfter(now)
	}
	p.newer[sidecar] = version
	return true
}

// delayAfter gives the table time to deliver the version that the entry lacks.
func (p *Planner) delayAfter(now time.Time) {
	p.earliest = now
	if p.version > 0 {
		p.earliest = now.Add(readDelay)
	}
}

// Forget removes a sidecar with which the entry has no session.
func (p *Planner) Forget(sidecar string) {
	delete(p.newer, sidecar)
	delete(p.failed, sidecar)
}

// Adopted records the version of the entry's manifest, from whatever source.
func (p *Planner) Adopted(now time.Time, version int64) {
	if version <= p.version {
		return
	}
	p.version = version
	p.timeout = minTimeout
	clear(p.failed)
	maps.DeleteFunc(p.newer, func(_ string, reported int64) bool { return reported <= version })
	p.delayAfter(now)
}

// Next returns the fetch to begin now. If there is none, it returns how long to wait for
// one; 0 means until a sidecar reports a newer version.
func (p *Planner) Next(now time.Time) (Fetch, time.Duration) {
	if len(p.newer) == 0 {
		return Fetch{}, 0
	}
	if wait := p.earliest.Sub(now); wait > 0 {
		return Fetch{}, wait
	}
	if p.allFailed() {
		clear(p.failed)
	}
	candidates := p.candidates()
	// The draw keeps entries from all asking the same sidecar.
	sidecar := candidates[p.random.IntN(len(candidates))]
	return Fetch{Sidecar: sidecar, Timeout: p.timeout}, 0
}

func (p *Planner) allFailed() bool { return len(p.failed) == len(p.newer) }

// candidates returns those sidecars with the newest version among the ones that have not
// failed.
func (p *Planner) candidates() []string {
	var newest int64
	var found []string
	for _, sidecar := range slices.Sorted(maps.Keys(p.newer)) {
		version := p.newer[sidecar]
		if p.failed[sidecar] || version < newest {
			continue
		}
		if version > newest {
			newest, found = version, nil
		}
		found = append(found, sidecar)
	}
	return found
}

// Failed records that a sidecar did not deliver, and whether it was for want of time.
func (p *Planner) Failed(now time.Time, sidecar string, timedOut bool) {
	if timedOut {
		p.timeout = min(2*p.timeout, maxTimeout)
	}
	if _, ok := p.newer[sidecar]; !ok {
		return
	}
	p.failed[sidecar] = true
	if p.allFailed() {
		p.earliest = now.Add(retryDelay)
	}
}
