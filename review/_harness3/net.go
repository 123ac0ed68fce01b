package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

// network decides which machines reach each other. All connections between the processes of
// the system pass through proxies, which ask it.
type network struct {
	mu      sync.Mutex
	blocked func(from, to string) bool
	// pids has the process IDs of the processes that the harness started, by name.
	pids map[string]int
}

func newNetwork() *network {
	return &network{blocked: func(string, string) bool { return false }, pids: make(map[string]int)}
}

// cut sets which pairs of machines can't reach each other; nil heals all cuts.
func (n *network) cut(blocked func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if blocked == nil {
		blocked = func(string, string) bool { return false }
	}
	n.blocked = blocked
}

func (n *network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blocked(from, to) || n.blocked(to, from)
}

func (n *network) setPID(name string, pid int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pids[name] = pid
}

// callerOf returns the name of the process of the system that opened a connection, found by
// its local port among the sockets of the processes that the harness started; empty if the
// caller is gone.
func (n *network) callerOf(remote net.Addr) string {
	const tries = 5
	for range tries {
		if name := n.findCaller(remote); name != "" {
			return name
		}
		time.Sleep(2 * time.Millisecond)
	}
	return ""
}

func (n *network) findCaller(remote net.Addr) string {
	n.mu.Lock()
	pids := make(map[string]int, len(n.pids))
	for name, pid := range n.pids {
		pids[name] = pid
	}
	n.mu.Unlock()
	inode := socketInode(remote.(*net.TCPAddr))
	if inode == "" {
		return ""
	}
	wanted := "socket:[" + inode + "]"
	for name, pid := range pids {
		dir := fmt.Sprintf("/proc/%d/fd", pid)
		links, err := os.ReadDir(dir)
		if err != nil {
			continue
		}
		for _, link := range links {
			if target, err := os.Readlink(dir + "/" + link.Name()); err == nil && target == wanted {
				return name
			}
		}
	}
	return ""
}

// socketInode returns the inode of the connection with the local address.
func socketInode(local *net.TCPAddr) string {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	ip := local.IP.To4()
	wanted := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], local.Port)
	for _, line := range strings.Split(string(table), "\n") {
		fields := strings.Fields(line)
		if len(fields) > 9 && fields[1] == wanted && fields[3] != listening && fields[9] != "0" {
			return fields[9]
		}
	}
	return ""
}

// listening is the state of a listening socket in the kernel's table.
const listening = "0A"

// proxy stands in front of the RPC listener of one process.
type proxy struct {
	net      *network
	to       string
	target   string
	listener net.Listener
}

func (n *network) newProxy(to, listen, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	made := &proxy{net: n, to: to, target: target, listener: listener}
	go made.serve()
	return made, nil
}

func (p *proxy) serve() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.connect(caller)
	}
}

// connect forwards one connection. While its two ends can't reach each other, nothing is
// delivered; data that was held up is lost if its sender resets the connection meanwhile.
func (p *proxy) connect(caller net.Conn) {
	from := p.net.callerOf(caller.RemoteAddr())
	if from == "" {
		reset(caller)
		return
	}
	gone := make(chan struct{})
	first := make([]byte, 64<<10)
	var held []byte
	for p.net.isCut(from, p.to) {
		_ = caller.SetReadDeadline(time.Now().Add(5 * time.Millisecond))
		count, err := caller.Read(first)
		held = append(held, first[:count]...)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			_ = caller.Close()
			return
		}
	}
	_ = caller.SetReadDeadline(time.Time{})
	callee, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		reset(caller)
		return
	}
	if len(held) > 0 {
		_, _ = callee.Write(held)
	}
	var once sync.Once
	end := func() { once.Do(func() { close(gone) }) }
	go p.copy(from, callee, caller, end)
	go p.copy(from, caller, callee, end)
	<-gone
	for p.net.isCut(from, p.to) {
		time.Sleep(5 * time.Millisecond)
	}
	reset(caller)
	reset(callee)
}

// copy forwards one direction.
func (p *proxy) copy(from string, to, source net.Conn, end func()) {
	defer end()
	buffer := make([]byte, 64<<10)
	for {
		count, err := source.Read(buffer)
		if err != nil {
			return
		}
		if p.net.isCut(from, p.to) && !p.hold(from, source) {
			return
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			return
		}
	}
}

// hold waits until the cut is over. It returns false if the sender has closed the connection
// meanwhile: what it had sent is lost.
func (p *proxy) hold(from string, source net.Conn) bool {
	raw, err := source.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	for p.net.isCut(from, p.to) {
		time.Sleep(5 * time.Millisecond)
		if closedByPeer(raw) {
			return false
		}
	}
	return true
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
