package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

const (
	// crowdBody is a body that the pages allow without limits in the manifest.
	crowdBody = 256 << 10
	// crowdReport is the size of a report.
	crowdReport = 64 << 10
	// crowdWaves are the waves of each crowd, of waveClients clients each.
	crowdWaves  = 4
	waveClients = 300
	// completeShare is the part of the clients that complete their body, as a divisor.
	completeShare = 5
	// largeSteps is the number of steps of a job that the table has no room for.
	largeSteps = 4000
	// askers are the clients that ask for the number of pending jobs, askedCounts times each.
	askers      = 400
	askedCounts = 5
)

// smallSidecar are the settings of the smallest machine of a sidecar.
func smallSidecar() map[string]any {
	return map[string]any{"memoryMB": float64(smallSidecarMB), "maxDescriptors": machineDescriptors}
}

// sendWaves has waves of clients send bodies of all forms, of which one in completeShare is
// complete. The body is padded with spaces to size bytes.
func (c *crowd) sendWaves(address, path, body string, size int) {
	for wave := range crowdWaves {
		for i := range waveClients {
			sent := forms[i%len(forms)]
			header, content := sent.bodyOf(body, size)
			if i%completeShare != 0 {
				content = content[:len(content)-missingBytes]
			}
			head := fmt.Sprintf("POST %s%016x HTTP/1.1\r\nHost: %s\r\n%s\r\n\r\n", path, (wave+1)<<32+i, instancesHost, header)
			c.send(address, []byte(head), content, sent.writeBytes)
		}
		c.done.Wait()
	}
}

// bodyOf returns the last header and the content of a complete request with the body,
// padded with spaces.
func (f form) bodyOf(body string, size int) (header string, content []byte) {
	padded := body + strings.Repeat(" ", max(0, size-len(body)))
	if f.chunkBytes == 0 {
		return fmt.Sprintf("Content-Length: %d", len(padded)), []byte(padded)
	}
	var chunks strings.Builder
	for len(padded) > 0 {
		count := min(f.chunkBytes, len(padded))
		fmt.Fprintf(&chunks, "%x\r\n%s\r\n", count, padded[:count])
		padded = padded[count:]
	}
	chunks.WriteString("0\r\n\r\n")
	return "Transfer-Encoding: chunked", []byte(chunks.String())
}

// TestUncontrolledClientsWaves guards against processes that outgrow the smallest machines,
// with what the kernel holds for them, on waves of bodies of which some are complete.
func TestUncontrolledClientsWaves(t *testing.T) {
	bestEffort := `{"spec":"s","best_effort":true,"steps":[{"count":1,"cpu":1000,"est_ms":1}]}`
	for _, tc := range []struct{ name, body string }{
		{"best-effort jobs", bestEffort},
		{"kept jobs", keptBody(keptSteps, keptTasks, absentLabel)},
		{"jobs without room in the table", keptBody(largeSteps, 1, "")},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := startInstances(t, crowdBody, smallEntry())
			memory := watchMemory(t, s.dispatcher)
			newCrowd(t).sendWaves(s.dispatcher.listeners["callersListen"], instancesPrefix, tc.body, crowdBody)
			s.checkBounds(s.dispatcher, 0)
			memory.checkWithin(t, smallEntryMB)
		})
	}
	t.Run("reports", func(t *testing.T) {
		s := startInstances(t, crowdBody, smallSidecar())
		memory := watchMemory(t, s.executor)
		newCrowd(t).sendWaves(s.executor.listeners["reportsListen"], "/-/instances/i-0/heartbeat?", "{}", crowdReport)
		s.checkBounds(s.executor, 0)
		memory.checkWithin(t, smallSidecarMB)
	})
}

// TestUncontrolledClientsEachListener guards against a process that outgrows the smallest
// machine on bytes that none of its listeners has asked for.
func TestUncontrolledClientsEachListener(t *testing.T) {
	for _, tc := range allListeners() {
		t.Run(tc.role+" "+tc.listener, func(t *testing.T) {
			s := startInstances(t, crowdBody, smallSidecar())
			process, address := s.target(tc.role, tc.listener)
			memory := watchMemory(t, process)
			clients := newCrowd(t)
			for _, start := range []string{
				"", "figring/1\n", "POST /where HTTP/1.1\r\nHost: h\r\nContent-Length: 9000000\r\n\r\n",
				"POST /metrics HTTP/1.1\r\nHost: h\r\nContent-Length: 9000000\r\n\r\n",
				"DELETE " + instancesPrefix + "00000000000000aa HTTP/1.1\r\nHost: " + instancesHost + "\r\nContent-Length: 250000\r\n\r\n",
			} {
				for range waveClients {
					clients.send(address, []byte(start), []byte(strings.Repeat(" ", crowdBody-missingBytes)), 16<<10)
				}
			}
			clients.done.Wait()
			s.checkBounds(process, 0)
			memory.checkWithin(t, smallSidecarMB)
		})
	}
}

// TestUncontrolledClientsPendingCounts guards against an entry that outgrows its machine on
// requests for the number of pending jobs, for which it reads all open jobs while another
// entry doesn't answer.
func TestUncontrolledClientsPendingCounts(t *testing.T) {
	s := startInstances(t, crowdBody, smallEntry())
	lost := s.startSuccessor(smallEntry())
	memory := watchMemory(t, s.dispatcher)
	for wave := range keptWaves {
		s.submitKept(lost, keptClients, (wave+1)<<41, keptBody(1, keptTasks, absentLabel))
	}
	must.NoError(t, lost.command.Process.Kill())
	var done sync.WaitGroup
	for range askers {
		done.Go(func() {
			for range askedCounts {
				s.request(s.dispatcher, http.MethodGet, "", "")
			}
		})
	}
	done.Wait()
	s.checkBounds(s.dispatcher, 0)
	memory.checkWithin(t, smallEntryMB)
}

// TestUncontrolledClientsAtOnce guards against limits that hold for each crowd alone: kept
// jobs fill the memory for jobs, and bodies come at all listeners at the same time.
func TestUncontrolledClientsAtOnce(t *testing.T) {
	s := startInstances(t, crowdBody, smallEntry())
	memory := watchMemory(t, s.dispatcher)
	var crowds sync.WaitGroup
	for wave := range keptWaves {
		s.submitKept(s.dispatcher, keptClients, (wave+1)<<41, keptBody(keptSteps, keptTasks, absentLabel))
	}
	flood := []byte(strings.Repeat(" ", crowdBody-missingBytes))
	for _, listener := range []string{"readyListen", "statusListen"} {
		address, clients := s.dispatcher.listeners[listener], newCrowd(t)
		crowds.Go(func() {
			for range crowdWaves * waveClients {
				clients.send(address, []byte("POST /metrics HTTP/1.1\r\nHost: h\r\nContent-Length: 9000000\r\n\r\n"), flood, 16<<10)
			}
			clients.done.Wait()
		})
	}
	for _, body := range []string{keptBody(keptSteps, keptTasks, absentLabel), keptBody(largeSteps, 1, "")} {
		clients := newCrowd(t)
		crowds.Go(func() {
			clients.sendWaves(s.dispatcher.listeners["callersListen"], instancesPrefix, body, crowdBody)
		})
	}
	crowds.Wait()
	s.checkBounds(s.dispatcher, 0)
	memory.checkWithin(t, smallEntryMB)
}
