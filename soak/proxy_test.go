package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy is a TCP proxy in front of one sidecar's RPC listener. It can delay,
// block and reset the connections.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	pairs map[*pair]struct{}
	// delay is added to each chunk. silentIn blocks the data towards the
	// sidecar, silentOut the data from it.
	delay               time.Duration
	silentIn, silentOut bool
}

// pair is the two connections of one proxied connection.
type pair struct{ caller, callee net.Conn }

func newProxy(listen, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	made := &proxy{listener: listener, target: target, pairs: make(map[*pair]struct{})}
	go made.serve()
	return made, nil
}

func (p *proxy) serve() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return
		}
		callee, err := net.DialTimeout("tcp", p.target, time.Second)
		if err != nil {
			_ = caller.Close()
			continue
		}
		opened := &pair{caller, callee}
		p.mu.Lock()
		p.pairs[opened] = struct{}{}
		p.mu.Unlock()
		go p.copy(opened, callee, caller, func() bool { return p.silentIn })
		go p.copy(opened, caller, callee, func() bool { return p.silentOut })
	}
}

// copy forwards bytes in one direction. Data that arrives while the direction is
// blocked is held back until it is unblocked, as in a network partition.
func (p *proxy) copy(of *pair, to io.Writer, from io.Reader, silent func() bool) {
	defer p.drop(of)
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		for p.held(silent) {
			time.Sleep(5 * time.Millisecond)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// held reports whether the direction is blocked, and sleeps for the delay when it
// is not.
func (p *proxy) held(silent func() bool) bool {
	p.mu.Lock()
	delay, held := p.delay, silent()
	p.mu.Unlock()
	if !held && delay > 0 {
		time.Sleep(delay)
	}
	return held
}

func (p *proxy) drop(of *pair) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pairs, of)
	_ = of.caller.Close()
	_ = of.callee.Close()
}

func (p *proxy) set(delay time.Duration, in, out bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay, p.silentIn, p.silentOut = delay, in, out
}

// reset closes all connections, those of the callers with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for one := range p.pairs {
		_ = one.caller.(*net.TCPConn).SetLinger(0)
		_ = one.caller.Close()
		_ = one.callee.Close()
	}
}
