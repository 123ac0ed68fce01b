package e2e

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

// memoryInterval is the time between two looks at the memory of a process.
const memoryInterval = 50 * time.Millisecond

// memoryWatch keeps the largest memory that a process has had: its resident set and what
// the kernel has received for it and it has not read.
type memoryWatch struct {
	process *instanceProcess
	peak    atomic.Int64
	stop    chan struct{}
	done    chan struct{}
}

// watchMemory watches a process until the test ends.
func watchMemory(t *testing.T, process *instanceProcess) *memoryWatch {
	t.Helper()
	w := &memoryWatch{process: process, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	t.Cleanup(func() { close(w.stop); <-w.done })
	return w
}

func (w *memoryWatch) run() {
	defer close(w.done)
	ticker := time.NewTicker(memoryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-ticker.C:
			w.peak.Store(max(w.peak.Load(), w.process.residentBytes()+w.process.unreadBytes()))
		}
	}
}

// peakBytes returns the largest memory so far.
func (w *memoryWatch) peakBytes(t *testing.T) int64 {
	t.Helper()
	return max(w.peak.Load(), w.process.peakBytes(t))
}

// residentBytes returns the resident set of the process; 0 if it has ended.
func (p *instanceProcess) residentBytes() int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	const residentField = 1
	fields := bytes.Fields(raw)
	if len(fields) <= residentField {
		return 0
	}
	pages, _ := strconv.ParseInt(string(fields[residentField]), 10, 64)
	return pages * int64(os.Getpagesize())
}

// unreadBytes returns what the kernel has received on the listeners of the process and the
// process has not read.
func (p *instanceProcess) unreadBytes() int64 {
	var local []string
	for _, address := range p.listeners {
		if parsed, err := netip.ParseAddrPort(address); err == nil {
			local = append(local, kernelAddress(parsed))
		}
	}
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer func() { _ = table.Close() }()
	unread := int64(0)
	for lines := bufio.NewScanner(table); lines.Scan(); {
		const localField, queueField = 1, 4
		fields := strings.Fields(lines.Text())
		if len(fields) <= queueField || !slices.Contains(local, fields[localField]) {
			continue
		}
		_, received, _ := strings.Cut(fields[queueField], ":")
		waiting, _ := strconv.ParseInt(received, 16, 64)
		unread += waiting
	}
	return unread
}

// kernelAddress returns an IPv4 address as the kernel's table of connections writes it: the
// bytes of the address in reverse, in hexadecimal.
func kernelAddress(address netip.AddrPort) string {
	host := address.Addr().As4()
	slices.Reverse(host[:])
	return strings.ToUpper(hex.EncodeToString(host[:])) + fmt.Sprintf(":%04X", address.Port())
}

// TestUnreadBytes guards against a watch that does not see what a process has not read.
func TestUnreadBytes(t *testing.T) {
	s := startInstances(t, legalBody, nil)
	must.NoError(t, s.dispatcher.command.Process.Signal(syscall.SIGSTOP))
	const sent = 10_000
	conn := newCrowd(t).join(s.dispatcher.listeners["callersListen"])
	must.NotNil(t, conn)
	// The process stops some time after the signal and may read what comes before that.
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		_, err := conn.Write(bytes.Repeat([]byte("a"), sent))
		return err == nil && s.dispatcher.unreadBytes() >= sent
	}), wait.Timeout(callLimit), wait.Gap(settleInterval)))
	must.NoError(t, s.dispatcher.command.Process.Signal(syscall.SIGCONT))
}
