package soak

import (
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/platform/standin"
)

// storiesNetwork is the third octet of the loopback addresses of this test. It
// differs from those of the seeds.
const storiesNetwork = 90

// explained returns the output of figring explain for a job. Its only input is the
// logs of all processes.
func explained(t *testing.T, w *cluster, id string) string {
	t.Helper()
	logs, err := filepath.Glob(filepath.Join(w.dir, "*.log"))
	must.NoError(t, err)
	out, err := exec.Command(w.binary, append([]string{"explain", "--id", id}, logs...)...).CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	return string(out)
}

// TestFailuresAreExplained makes requests fail in three ways, by overload and by
// faults, and checks that figring explain names the cause of each.
func TestFailuresAreExplained(t *testing.T) {
	w := newCluster(t, build(t), storiesNetwork)
	told := newCallers(w)
	awaitService(t, told, "at the start")

	t.Run("refused under overload", func(t *testing.T) {
		id := overload(t, told)
		story := explained(t, w, id)
		must.StrContains(t, story, "refused")
		must.StrContains(t, story, "job "+id+": answered as refused, no minion had room in time")
	})
	time.Sleep(time.Second)
	t.Run("failed after attempts", func(t *testing.T) {
		for i := range sidecars {
			minion := w.minion(i)
			minion.SetFaults(standin.Faults{Fail: 1})
		}
		const id = "00000000000000f1"
		status, state := told.submit(id, 0, 1, 20)
		for i := range sidecars {
			minion := w.minion(i)
			minion.SetFaults(standin.Faults{})
		}
		must.EqOp(t, http.StatusOK, status)
		must.EqOp(t, "failed", state)
		story := explained(t, w, id)
		must.StrContains(t, story, "job "+id+": answered as failed, a task failed as often as its route allows")
		must.StrContains(t, story, "a task had to be placed again: failed at side-")
	})
	awaitService(t, told, "after the failures")
	t.Run("lost with an instance that was cut off", func(t *testing.T) {
		const id = "00000000000000f2"
		ended := make(chan int, 1)
		go func() {
			status, _ := told.submit(id, 0, 2, 900)
			ended <- status
		}()
		time.Sleep(300 * time.Millisecond)
		for i, cut := range w.proxies {
			cut.set(0, true, true)
			w.signal(sidecarName(i), syscall.SIGSTOP)
		}
		status := <-ended
		for i, cut := range w.proxies {
			w.signal(sidecarName(i), syscall.SIGCONT)
			cut.set(0, false, false)
		}
		must.NotEqOp(t, http.StatusOK, status)
		story := explained(t, w, id)
		must.StrContains(t, story, "dependency_lost")
		must.StrContains(t, story, "the caller's deadline came first; a task had to be placed again: lapsed at side-")
	})
	must.Len(t, 0, w.ledger.Overlaps())
}

// overload submits more work than there is capacity for and returns the ID of a
// job that was refused.
func overload(t *testing.T, told *callers) string {
	t.Helper()
	var mu sync.Mutex
	refused := ""
	var wait sync.WaitGroup
	for i := range 60 {
		wait.Go(func() {
			id := fmt.Sprintf("%016x", 0xe00+i)
			if status, _ := told.submit(id, i%entries, 4, 400); status == http.StatusTooManyRequests {
				mu.Lock()
				refused = id
				mu.Unlock()
			}
		})
		time.Sleep(5 * time.Millisecond)
	}
	wait.Wait()
	must.NotEqOp(t, "", refused)
	return refused
}
