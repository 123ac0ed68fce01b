package e2e

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The smallest machine that the processes run on.
const (
	machineBytes       = 144 << 20
	machineDescriptors = 3075
)

const (
	// bodyClients send bodies of legalBody bytes to the callers' listener.
	bodyClients = 300
	legalBody   = 1 << 20
	// reportClients send reports of legalReport bytes.
	reportClients = 2500
	legalReport   = 64 << 10
	// headerClients send a header of longHeader bytes without an end.
	headerClients = 300
	longHeader    = 900 << 10
	// idleClients open a connection and keep it. There are more of them than the machine
	// has descriptors.
	idleClients = 3300
	// unreadClients ask for unreadAnswers metrics pages each and read none.
	unreadClients = 2500
	unreadAnswers = 200
	// crowdLimit is the longest that a client sends.
	crowdLimit = 60 * time.Second
	// sampleInterval is the number of new clients between two looks at the descriptors.
	sampleInterval = 100
)

// form is how a client sends a body: in chunks of chunkBytes, or with its length announced
// if that is 0, and with writes of writeBytes.
type form struct {
	name                   string
	chunkBytes, writeBytes int
}

var forms = []form{
	{"whole", 0, 1 << 20}, {"pieces", 0, 8 << 10}, {"large chunks", 64 << 10, 1 << 20}, {"small chunks", 64, 1 << 20},
}

// missingBytes is the end of the body that a client keeps back.
const missingBytes = 100

// body returns the last header and a body of size bytes without its end.
func (f form) body(size int) (header string, content []byte) {
	if f.chunkBytes == 0 {
		return fmt.Sprintf("Content-Length: %d", size), bytes.Repeat([]byte(" "), size-missingBytes)
	}
	chunk := fmt.Sprintf("%x\r\n%s\r\n", f.chunkBytes, strings.Repeat(" ", f.chunkBytes))
	content = []byte(strings.Repeat(chunk, size/f.chunkBytes))
	return "Transfer-Encoding: chunked", content[:len(content)-missingBytes]
}

// sendBodies has clients send a body each at the same time and waits until none sends.
func (c *crowd) sendBodies(address, path string, clients, size int, sent form) {
	header, content := sent.body(size)
	for i := range clients {
		head := fmt.Sprintf("POST %s%016x HTTP/1.1\r\nHost: %s\r\n%s\r\n\r\n", path, 1<<32+i, instancesHost, header)
		c.send(address, []byte(head), content, sent.writeBytes)
	}
	c.done.Wait()
}

// send has one more client send head and content. A client that is refused or cut off
// sends nothing more.
func (c *crowd) send(address string, head, content []byte, writeBytes int) {
	c.done.Go(func() {
		conn := c.join(address)
		if conn == nil {
			return
		}
		_, err := conn.Write(head)
		for piece := range slices.Chunk(content, writeBytes) {
			if err == nil {
				_, err = conn.Write(piece)
			}
		}
	})
}

// checkBounds checks that a process runs within the machine after a crowd, and that
// ordinary requests are answered. The process had peak descriptors before.
func (s *instances) checkBounds(process *instanceProcess, peak int) {
	s.t.Helper()
	process.settle(s.t)
	s.checkProcess(process, peak)
	s.awaitJob()
	for _, url := range []string{
		s.dispatcher.listeners["readyListen"] + "/-/ready", s.dispatcher.listeners["statusListen"] + "/metrics", s.executor.listeners["statusListen"] + "/metrics",
	} {
		must.Positive(s.t, s.call(http.MethodGet, "http://"+url, ""))
	}
	must.True(s.t, s.dispatcher.alive())
	must.True(s.t, s.executor.alive())
	s.checkProcess(process, peak)
}

func (s *instances) checkProcess(process *instanceProcess, peak int) {
	s.t.Helper()
	bytes, descriptors := process.peakBytes(s.t), max(peak, process.descriptors(s.t))
	s.t.Logf("peak %d MB, %d descriptors", bytes>>20, descriptors)
	must.True(s.t, process.alive())
	must.Less(s.t, machineBytes, bytes)
	must.Less(s.t, machineDescriptors, descriptors)
}

// TestUncontrolledClientsBodies guards against an entry that outgrows its machine on
// bodies of legal size that stop short of their end.
func TestUncontrolledClientsBodies(t *testing.T) {
	for _, sent := range forms {
		t.Run(sent.name, func(t *testing.T) {
			s := startInstances(t, legalBody, nil)
			newCrowd(t).sendBodies(s.dispatcher.listeners["callersListen"], instancesPrefix, bodyClients, legalBody, sent)
			s.checkBounds(s.dispatcher, 0)
		})
	}
}

// TestUncontrolledClientsReports guards against a sidecar that outgrows its machine on
// reports that stop short of their end.
func TestUncontrolledClientsReports(t *testing.T) {
	for _, sent := range forms {
		t.Run(sent.name, func(t *testing.T) {
			s := startInstances(t, legalBody, nil)
			newCrowd(t).sendBodies(s.executor.listeners["reportsListen"], "/-/instances/i-0/heartbeat?", reportClients, legalReport, sent)
			s.checkBounds(s.executor, 0)
		})
	}
}

// target returns the address of a listener of one of the processes.
func (s *instances) target(role, listener string) (*instanceProcess, string) {
	if role == "executor" {
		return s.executor, s.executor.listeners[listener]
	}
	return s.dispatcher, s.dispatcher.listeners[listener]
}

// roleListener is a listener of a role by the name of its setting.
type roleListener struct{ role, listener string }

// httpListeners are the listeners of HTTP that a client or a minion reaches.
var httpListeners = []roleListener{
	{"dispatcher", "callersListen"}, {"dispatcher", "readyListen"}, {"dispatcher", "statusListen"},
	{"executor", "reportsListen"}, {"executor", "statusListen"},
}

// allListeners are all that a stranger reaches.
func allListeners() []roleListener {
	return append(slices.Clone(httpListeners), roleListener{"dispatcher", "rpcListen"}, roleListener{"executor", "rpcListen"})
}

// TestUncontrolledClientsHeaders guards against a process that outgrows its machine on
// headers without an end.
func TestUncontrolledClientsHeaders(t *testing.T) {
	for _, tc := range httpListeners {
		t.Run(tc.role+" "+tc.listener, func(t *testing.T) {
			s := startInstances(t, legalBody, nil)
			process, address := s.target(tc.role, tc.listener)
			head := []byte("GET / HTTP/1.1\r\nHost: " + instancesHost + "\r\nX-Filler: " + strings.Repeat("a", longHeader))
			clients := newCrowd(t)
			for range headerClients {
				clients.send(address, head, nil, 1)
			}
			clients.done.Wait()
			s.checkBounds(process, 0)
		})
	}
}

// TestUncontrolledClientsConnections guards against a process that runs out of
// descriptors because clients keep their connections open.
func TestUncontrolledClientsConnections(t *testing.T) {
	idle := "GET /-/none HTTP/1.1\r\nHost: " + instancesHost + "\r\n\r\n"
	unauthenticated := "figring/1\n"
	for _, tc := range allListeners() {
		t.Run(tc.role+" "+tc.listener, func(t *testing.T) {
			s := startInstances(t, legalBody, nil)
			process, address := s.target(tc.role, tc.listener)
			first := idle
			if tc.listener == "rpcListen" {
				first = unauthenticated
			}
			clients, peak := newCrowd(t), 0
			for i := range idleClients {
				if conn := clients.join(address); conn != nil {
					_, _ = conn.Write([]byte(first))
				}
				if i%sampleInterval == 0 || i == idleClients-1 {
					peak = max(peak, process.descriptors(t))
				}
			}
			s.checkBounds(process, peak)
		})
	}
}

// TestUncontrolledClientsUnreadAnswers guards against a process that outgrows its machine
// on metrics pages that nobody reads.
func TestUncontrolledClientsUnreadAnswers(t *testing.T) {
	for _, role := range []string{"dispatcher", "executor"} {
		t.Run(role, func(t *testing.T) {
			s := startInstances(t, legalBody, nil)
			process, address := s.target(role, "statusListen")
			asked := []byte(strings.Repeat("GET /metrics HTTP/1.1\r\nHost: "+instancesHost+"\r\n\r\n", unreadAnswers))
			clients := newCrowd(t)
			for range unreadClients {
				clients.send(address, asked, nil, 1)
			}
			clients.done.Wait()
			s.checkBounds(process, 0)
		})
	}
}

// TestUncontrolledClientsOfAllKinds guards against limits that hold for one kind of clients
// and not for all of them at once, with the settings of the smallest machine.
func TestUncontrolledClientsOfAllKinds(t *testing.T) {
	s := startInstances(t, legalBody, map[string]any{"memoryMB": 144.0, "maxDescriptors": machineDescriptors})
	clients := newCrowd(t)
	for _, listener := range []string{"callersListen", "readyListen", "statusListen", "rpcListen"} {
		address := s.dispatcher.listeners[listener]
		for range 300 {
			clients.send(address, []byte("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n"), nil, 1)
			clients.send(address, []byte("GET /metrics HTTP/1.1\r\nX: "+strings.Repeat("a:\r\n", 4<<10)), nil, 1)
		}
	}
	for _, sent := range forms {
		clients.sendBodies(s.dispatcher.listeners["callersListen"], instancesPrefix, 100, legalBody, sent)
	}
	s.checkBounds(s.dispatcher, 0)
}
