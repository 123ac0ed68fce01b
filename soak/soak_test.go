package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// seedsVariable names the seeds to play, as "7" or "1-50".
	seedsVariable = "FIGRING_SOAK"
	// timeVariable says how long faults are played with each seed.
	timeVariable = "FIGRING_SOAK_TIME"
	// shortTime is played with each seed when nothing is said.
	shortTime = 6 * time.Second
	// calmAfter is how long after the last fault the system must serve again.
	calmAfter = 5 * time.Second
)

// regressions are seeds that failed once, each with its cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{816, "no entry reached a restarted sidecar for two seconds, and it let go of the end of a kept task"},
	{818, "an entry that could not read the table told a restarted sidecar that there were no kept jobs"},
	{747, "a kept task was done while its entry's next life opened a session, and that life was told of an end it knew nothing of"},
	{413, "a sidecar that was paused while a kept task was done told it as lapsed, and it ran again"},
}

// TestSoak plays faults with seeds and checks the promises.
func TestSoak(t *testing.T) {
	binary := build(t)
	for at, seed := range seeds(t) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { soak(t, binary, seed, 100+at%100) })
	}
}

// build builds the program and returns its path.
func build(t testing.TB) string {
	binary := filepath.Join(t.TempDir(), "figring")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/figring").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	return binary
}

func seeds(t *testing.T) []uint64 {
	asked := os.Getenv(seedsVariable)
	if asked == "" {
		chosen := []uint64{1, 2}
		for _, one := range regressions {
			chosen = append(chosen, one.seed)
		}
		return chosen
	}
	var from, to uint64
	if strings.Contains(asked, "-") {
		_, err := fmt.Sscanf(asked, "%d-%d", &from, &to)
		must.NoError(t, err)
	} else {
		_, err := fmt.Sscanf(asked, "%d", &from)
		must.NoError(t, err)
		to = from
	}
	var chosen []uint64
	for seed := from; seed <= to; seed++ {
		chosen = append(chosen, seed)
	}
	return chosen
}

func soakTime(t *testing.T) time.Duration {
	asked := os.Getenv(timeVariable)
	if asked == "" {
		return shortTime
	}
	length, err := time.ParseDuration(asked)
	must.NoError(t, err)
	return length
}

func soak(t *testing.T, binary string, seed uint64, network int) {
	w := newWorld(t, binary, network)
	random := rand.New(rand.NewPCG(seed, seed))
	told := newCallers(w)
	awaitService(t, told, "at the start")

	stop := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		told.run(rand.New(rand.NewPCG(seed, 0)), stop)
		close(ended)
	}()
	play(w, random, soakTime(t))
	awaitService(t, told, "after the faults")
	close(stop)
	<-ended
	checkAccepted(t, w, told)
	check(t, w, told)
	if t.Failed() {
		keepLogs(t, w, seed)
	}
}

// awaitService waits until a job is completed at each entry.
func awaitService(t testing.TB, told *callers, when string) {
	until := time.Now().Add(calmAfter + patience)
	for entry := 0; entry < entries; {
		id := fmt.Sprintf("%016x", time.Now().UnixNano())
		if _, state := told.submit(id, entry, 1, 10); state == "completed" {
			entry++
			continue
		}
		if time.Now().After(until) {
			t.Errorf("entry %d does not serve %s", entry, when)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// endAfter is how long after the faults all accepted jobs have to have ended.
const endAfter = 40 * time.Second

// checkAccepted waits for the ends of the jobs that were accepted, and looks for
// tasks of them that were done twice.
func checkAccepted(t *testing.T, w *world, told *callers) {
	until := time.Now().Add(endAfter)
	kept := make(map[string]bool)
	for _, id := range told.accepted {
		kept[id] = true
		state := ""
		for state != "completed" && state != "failed" && time.Now().Before(until) {
			state = told.state(id, 0)
			if state != "completed" && state != "failed" {
				time.Sleep(20 * time.Millisecond)
			}
		}
		if state != "completed" && state != "failed" {
			t.Errorf("%s was accepted and is %q", id, state)
		}
	}
	done := make(map[string]int)
	for _, entry := range w.ledger.Entries() {
		id, _, _ := strings.Cut(entry.Task, ".")
		if kept[id] && entry.Outcome == "done" {
			done[entry.Task]++
		}
	}
	for task, count := range done {
		if count > 1 {
			t.Errorf("%s was done %d times", task, count)
		}
	}
	t.Logf("%d jobs were accepted, %d tasks done", len(told.accepted), len(done))
}

// check compares what callers were told with what the minions ran.
func check(t *testing.T, w *world, told *callers) {
	for _, task := range w.ledger.Overlaps() {
		t.Errorf("two runs of %s at one time", task)
	}
	if most := w.ledger.PeakMilliCPU(); most > capacity {
		t.Errorf("%d of %d thousandths of a core in use", most, capacity)
	}
	told.mu.Lock()
	defer told.mu.Unlock()
	done := make(map[string]bool)
	for _, entry := range w.ledger.Entries() {
		id, _, _ := strings.Cut(entry.Task, ".")
		if told.refused[id] {
			t.Errorf("%s was refused and %s has run", id, entry.Task)
		}
		if entry.Outcome == "done" {
			done[id] = true
		}
	}
	for id := range told.completed {
		if !done[id] {
			t.Errorf("%s was told as completed and no task is done", id)
		}
	}
	t.Logf("%d submissions, %d completed, %d refused, %d runs", told.asked, len(told.completed), len(told.refused), len(w.ledger.Entries()))
	must.Positive(t, len(told.completed))
}

// keepLogs copies the logs of a failed run to a folder that stays.
func keepLogs(t *testing.T, w *world, seed uint64) {
	kept := filepath.Join(os.TempDir(), fmt.Sprintf("figring-soak-%d", seed))
	if err := os.CopyFS(kept, os.DirFS(w.dir)); err != nil {
		t.Logf("the logs could not be kept: %v", err)
		return
	}
	t.Logf("the logs are in %s", kept)
}
