package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// crowdAnswer is how long clients wait for the end of their job.
	crowdAnswer = 5 * time.Second
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

// TestUncontrolledClientsTinyTasks guards against an entry and a sidecar that outgrow the
// smallest machines on tasks that need next to nothing, of which a minion has room for many.
func TestUncontrolledClientsTinyTasks(t *testing.T) {
	for _, tc := range []struct {
		name       string
		bestEffort bool
	}{{"best-effort jobs", true}, {"kept jobs", false}} {
		t.Run(tc.name, func(t *testing.T) {
			s := startInstances(t, crowdBody, smallSidecar())
			entry, sidecar := watchMemory(t, s.dispatcher), watchMemory(t, s.executor)
			body := fmt.Sprintf(`{"spec":"{\"work_ms\":1000}","best_effort":%t,"steps":[{"count":%d,"cpu":0,"est_ms":1000}]}`, tc.bestEffort, wideTasks)
			var done sync.WaitGroup
			for i := range waveClients {
				done.Go(func() {
					s.requestWithin(crowdAnswer, s.dispatcher, http.MethodPost, fmt.Sprintf("%016x", 1<<32+i), body)
				})
			}
			done.Wait()
			s.checkBounds(s.executor, 0)
			sidecar.checkWithin(t, smallSidecarMB)
			entry.checkWithin(t, smallEntryMB)
		})
	}
}
