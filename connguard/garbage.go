package connguard

import (
	"runtime"
	"sync"
	"sync/atomic"
)

const (
	// garbageShare is the part of the bytes that dropped buffers may have in addition
	// before they are collected, as a divisor.
	garbageShare = 8
	// collectingBytes is the size of a buffer before whose allocation dropped ones are
	// collected.
	collectingBytes = 32 << 10
)

// garbage counts dropped buffers. Under pressure they come faster than the garbage
// collector's own pace, and would take as much memory as those in use.
type garbage struct {
	most       int64
	bytes      atomic.Int64
	collecting sync.Mutex
}

// drop counts a buffer that is no longer used.
func (g *garbage) drop(bytes int64) { g.bytes.Add(bytes) }

// collect frees the dropped buffers if they have become too many, and waits while others
// do so.
func (g *garbage) collect() {
	g.collecting.Lock()
	defer g.collecting.Unlock()
	if g.bytes.Load() < g.most {
		return
	}
	g.bytes.Store(0)
	runtime.GC()
}
