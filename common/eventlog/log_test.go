package eventlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// slowWriter collects lines. Write blocks until release is closed.
type slowWriter struct {
	mu      sync.Mutex
	release chan struct{}
	out     bytes.Buffer
}

// Write implements io.Writer.
func (w *slowWriter) Write(line []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(line)
}

// TestBlockedWriterDoesNotBlockLogging guards against callers that block because
// the reader of the log output hangs.
func TestBlockedWriterDoesNotBlockLogging(t *testing.T) {
	writer := &slowWriter{release: make(chan struct{})}
	log := New(writer, "p")
	for range 10 * queueSize {
		log.Failure(KindRefused).Msg("")
		log.Routine(KindAdmitted).Msg("")
	}
	close(writer.release)
	must.NoError(t, log.Close())
}

// TestRoutineFloodDropsNoFailures logs ten times the usual load of routine lines.
// They must be limited to their rate and counted, and no failure may be lost.
func TestRoutineFloodDropsNoFailures(t *testing.T) {
	writer := &slowWriter{release: make(chan struct{})}
	close(writer.release)
	log := New(writer, "p")
	const failures = 100
	for range failures {
		for range 20 {
			log.Routine(KindAdmitted).Msg("")
		}
		log.Failure(KindJobFailed).Msg("")
	}
	log.mu.Lock()
	dropped := log.limits[KindAdmitted].dropped
	log.mu.Unlock()
	must.NoError(t, log.Close())
	must.EqOp(t, failures, strings.Count(writer.out.String(), string(KindJobFailed)))
	admitted := strings.Count(writer.out.String(), string(KindAdmitted))
	must.LessEq(t, RoutineBurst+RoutineRate, admitted)
	must.Positive(t, dropped)
}

// TestFailuresOnly checks that routine lines are suppressed and failures are not.
func TestFailuresOnly(t *testing.T) {
	out := &bytes.Buffer{}
	log := New(out, "p")
	log.FailuresOnly()
	log.Routine(KindAdmitted).Str(FieldJob, "j").Msg("")
	log.Failure(KindJobFailed).Msg("")
	must.NoError(t, log.Close())
	must.EqOp(t, 1, strings.Count(out.String(), "\n"))
	must.StrContains(t, out.String(), string(KindJobFailed))
}

// BenchmarkLine measures the caller's cost of one line.
func BenchmarkLine(b *testing.B) {
	log := New(&bytes.Buffer{}, "p")
	for b.Loop() {
		log.Failure(KindJobFailed).Str(FieldJob, "0123456789abcdef").Str(FieldReason, "deadline").Msg("")
	}
}

// BenchmarkDroppedLine measures the caller's cost of one line above the rate limit.
func BenchmarkDroppedLine(b *testing.B) {
	log := New(&bytes.Buffer{}, "p")
	for b.Loop() {
		log.Routine(KindAdmitted).Str(FieldJob, "0123456789abcdef").Str(FieldReason, "deadline").Msg("")
	}
}

// TestConcurrentLogging logs from several goroutines, and once more after Close,
// so that the race detector can find unsynchronized access.
func TestConcurrentLogging(t *testing.T) {
	writer := &slowWriter{release: make(chan struct{})}
	close(writer.release)
	log := New(writer, "p")
	var wait sync.WaitGroup
	for range 8 {
		wait.Go(func() {
			for range 500 {
				log.Failure(KindJobFailed).Msg("")
			}
		})
	}
	wait.Wait()
	must.NoError(t, log.Close())
	log.Failure(KindStop).Msg("")
	must.Positive(t, strings.Count(writer.out.String(), string(KindJobFailed)))
}
