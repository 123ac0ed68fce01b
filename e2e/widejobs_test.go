package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

const (
	// wideTasks is the number of tasks of the widest job.
	wideTasks = 4096
)

// TestUncontrolledClientsWideJobs guards against an entry that outgrows its machine on wide
// best-effort jobs that wait until it has met its sidecars.
func TestUncontrolledClientsWideJobs(t *testing.T) {
	s := startInstances(t, crowdBody, smallEntry())
	must.NoError(t, s.dispatcher.command.Process.Kill())
	<-s.dispatcher.ended
	addresses := map[string]any{"name": "restarted", "callersListen": freeAddress(t), "readyListen": freeAddress(t)}
	takeProcesses(t, 1)
	s.dispatcher = s.start("dispatcher", addresses, smallEntry())
	memory := watchMemory(t, s.dispatcher)
	body := fmt.Sprintf(`{"spec":"s","best_effort":true,"steps":[{"count":%d,"cpu":1000,"est_ms":1000}]}`, wideTasks)
	var done sync.WaitGroup
	for i := range waveClients {
		done.Go(func() {
			for range crowdWaves * completeShare {
				s.request(s.dispatcher, http.MethodPost, fmt.Sprintf("%016x", 1<<32+i), body)
			}
		})
	}
	done.Wait()
	s.checkBounds(s.dispatcher, 0)
	memory.checkWithin(t, smallEntryMB)
}
