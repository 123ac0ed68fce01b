package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// links are the proxies between the processes. A cut holds back the bytes between processes
// on its two sides, in both directions, until it is healed, like a partition.
type links struct {
	cluster *cluster
	// identify is set by cases with cuts: the caller of each connection is looked up.
	identify bool

	mu sync.Mutex
	// cut reports whether two processes can't reach each other.
	cut func(from, to string) bool
}

func newLinks(c *cluster) *links {
	return &links{cluster: c, cut: func(string, string) bool { return false }}
}

func (l *links) set(cut func(from, to string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

func (l *links) heal() { l.set(func(string, string) bool { return false }) }

func (l *links) isCut(from, to string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut(from, to)
}

// open opens a proxy. An empty from means that the caller may be any process of the cluster.
func (l *links) open(listen, target, from, to string) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	go func() {
		for {
			caller, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(caller, target, from, to)
		}
	}()
	return nil
}

func (l *links) serve(caller net.Conn, target, from, to string) {
	defer caller.Close()
	if from == "" && l.identify {
		from = l.callerOf(caller)
	}
	for l.isCut(from, to) {
		if l.cluster.over() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	callee, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		// Nothing listens there.
		_ = caller.(*net.TCPConn).SetLinger(0)
		return
	}
	defer callee.Close()
	ended := make(chan struct{}, 2)
	forward := func(to2, from2 net.Conn) {
		defer func() { ended <- struct{}{} }()
		buffer := make([]byte, 64<<10)
		for {
			n, err := from2.Read(buffer)
			for l.isCut(from, to) && !l.cluster.over() {
				time.Sleep(5 * time.Millisecond)
			}
			if n > 0 {
				if _, err := to2.Write(buffer[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go forward(callee, caller)
	go forward(caller, callee)
	<-ended
}

// callerOf returns the name of the process of this cluster that has opened a connection, by
// its local port; "" if it is none.
func (l *links) callerOf(conn net.Conn) string {
	port := conn.RemoteAddr().(*net.TCPAddr).Port
	inode := inodeOf(port, conn.LocalAddr().(*net.TCPAddr).Port)
	if inode == "" {
		return ""
	}
	l.cluster.mu.Lock()
	defer l.cluster.mu.Unlock()
	for name, command := range l.cluster.processes {
		if command.Process == nil {
			continue
		}
		dir := fmt.Sprintf("/proc/%d/fd", command.Process.Pid)
		entries, _ := os.ReadDir(dir)
		for _, entry := range entries {
			if link, _ := os.Readlink(dir + "/" + entry.Name()); link == "socket:["+inode+"]" {
				return name
			}
		}
	}
	return ""
}

// inodeOf returns the inode of the socket with a local and a remote port.
func inodeOf(local, remote int) string {
	raw, err := os.ReadFile("/proc/self/net/tcp")
	if err != nil {
		return ""
	}
	for _, line := range strings.Split(string(raw), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 10 {
			continue
		}
		if portOf(fields[1]) == local && portOf(fields[2]) == remote {
			return fields[9]
		}
	}
	return ""
}

func portOf(address string) int {
	_, port, _ := strings.Cut(address, ":")
	number, err := strconv.ParseInt(port, 16, 32)
	if err != nil {
		return -1
	}
	return int(number)
}
