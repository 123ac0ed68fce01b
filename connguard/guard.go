package connguard

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/figring/figring/decision/intake"
)

const (
	// sweepInterval is the interval at which overdue clients are closed.
	sweepInterval = time.Second
	// pressureShare is the part of the bytes above which the process is under pressure, as
	// a divisor. Below half of that it no longer is.
	pressureShare = 8
	// defaultHeaderBytes bounds a header if the configuration sets no limit.
	defaultHeaderBytes = 32 << 10
	// decoders is the number of large bodies that are decoded at the same time. A decoded
	// body takes several times its size.
	decoders = 2
)

// Guard keeps the clients of a process within limits.
type Guard struct {
	options Options
	limits  intake.Limits
	garbage garbage
	// decoding holds a value for each large body that is being decoded, rendering one for
	// the response that is being buffered.
	decoding, rendering chan struct{}

	// mu guards the fields below. released is signalled when a client gives way and when
	// bytes are released.
	mu       sync.Mutex
	released *sync.Cond
	clients  *intake.Clients
	// pressure is true while clients use much of the memory.
	pressure atomic.Bool
}

// New returns a guard. Run closes the overdue clients.
func New(options Options) *Guard {
	g := &Guard{
		options:  options,
		limits:   options.Limits,
		clients:  intake.New(options.Limits),
		decoding: make(chan struct{}, decoders), rendering: make(chan struct{}, 1),
	}
	g.garbage.most = options.Limits.Bytes / garbageShare
	g.released = sync.NewCond(&g.mu)
	return g
}

// Run closes clients whose requests are overdue, until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	ticker := time.NewTicker(min(sweepInterval, g.limits.BodyTimeout))
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			g.sweep(now)
		case <-ctx.Done():
			return
		}
	}
}

func (g *Guard) sweep(now time.Time) {
	timeout := g.headerLimits().Timeout
	g.mu.Lock()
	late := g.clients.Overdue(now, timeout)
	connections, bytes := g.clients.Count(), g.clients.Bytes()
	g.endPressure()
	g.mu.Unlock()
	for _, client := range late {
		event := BodyOverdue
		if client.Phase() == intake.Header {
			event = HeaderOverdue
		}
		g.evict(client, event)
	}
	if g.options.Usage != nil {
		g.options.Usage(connections, bytes)
	}
}

func (g *Guard) headerLimits() HeaderLimits {
	var limits HeaderLimits
	if g.options.Headers != nil {
		limits = g.options.Headers()
	}
	if limits.Bytes <= 0 {
		limits.Bytes = defaultHeaderBytes
	}
	return limits
}

func (g *Guard) observe(event Event, listener, client string) {
	if g.options.Observe != nil {
		g.options.Observe(event, listener, client)
	}
}

// evict closes the connection of a client that has given way.
func (g *Guard) evict(client *intake.Client, event Event) {
	owner := client.Owner.(*tracked)
	g.observe(event, owner.listener, owner.RemoteAddr().String())
	if event != ClosedForConnection {
		// What is left to send or to read must not stay in the kernel.
		_ = owner.SetLinger(0)
	}
	close(owner.gaveWay)
	_ = owner.TCPConn.Close()
	g.mu.Lock()
	g.released.Broadcast()
	g.mu.Unlock()
}

// grow counts bytes that are about to be buffered for a client. It closes clients that
// give way and waits until their memory is released.
func (g *Guard) grow(t *tracked, bytes int64) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	for {
		growth, victims := g.clients.Grow(&t.client, bytes)
		if len(victims) > 0 {
			g.mu.Unlock()
			for _, victim := range victims {
				g.evict(victim, ClosedForBytes)
			}
			g.mu.Lock()
			continue
		}
		switch growth {
		case intake.Granted:
			g.startPressure()
			return nil
		case intake.NoRoom:
			g.observe(RequestRefused, t.listener, t.RemoteAddr().String())
			return ErrNoRoom
		case intake.GaveWay:
			return ErrClosed
		}
		g.released.Wait()
	}
}

// release uncounts bytes that are no longer buffered for a client.
func (g *Guard) release(t *tracked, bytes int64) {
	if bytes == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.clients.Release(&t.client, bytes)
	g.released.Broadcast()
}

// startPressure reports that the process has come under pressure, if it has. The caller
// holds the lock.
func (g *Guard) startPressure() {
	if g.pressure.Load() || g.clients.Bytes() < g.limits.Bytes/pressureShare {
		return
	}
	g.setPressure(true)
}

// endPressure reports that the process is no longer under pressure, if it is not. The
// caller holds the lock.
func (g *Guard) endPressure() {
	if !g.pressure.Load() || g.clients.Bytes() > g.limits.Bytes/pressureShare/2 {
		return
	}
	g.setPressure(false)
}

func (g *Guard) setPressure(underPressure bool) {
	g.pressure.Store(underPressure)
	if g.options.UnderPressure != nil {
		g.options.UnderPressure(underPressure)
	}
}

// join adds a new connection, and closes another one if that is needed. It returns false
// if none can be closed.
func (g *Guard) join(t *tracked, reserved bool) bool {
	t.client.Owner = t
	g.mu.Lock()
	victim, ok := g.clients.Join(&t.client, reserved)
	g.mu.Unlock()
	if victim != nil {
		g.evict(victim, ClosedForConnection)
	}
	if !ok {
		g.observe(ConnectionRefused, t.listener, t.RemoteAddr().String())
	}
	return ok
}

func (g *Guard) leave(t *tracked) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.clients.Leave(&t.client)
	g.released.Broadcast()
}

// enter records that a client's request has reached a phase. It returns false if the
// client has given way.
func (g *Guard) enter(t *tracked, phase intake.Phase) bool {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.clients.Received(&t.client)
	return g.clients.Enter(&t.client, phase, now)
}
