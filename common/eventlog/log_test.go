package eventlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// slowWriter counts lines, and blocks until it is released.
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

// TestWriterThatStandsStillBlocksNobody covers a reader of the logs that hangs.
func TestWriterThatStandsStillBlocksNobody(t *testing.T) {
	writer := &slowWriter{release: make(chan struct{})}
	log := New(writer, "p")
	for range 10 * ringSize {
		log.Failure(KindRefused).Msg("")
		log.Routine(KindAdmitted).Msg("")
	}
	close(writer.release)
	must.NoError(t, log.Close())
}

// TestFloodLeavesFailuresTheirRoom covers ten times the usual load of ordinary
// lines: they are cut to their rate and counted, and no failure is lost.
func TestFloodLeavesFailuresTheirRoom(t *testing.T) {
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

// TestFailuresOnly covers the log without routine lines.
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

// BenchmarkLine measures the cost of one line to the caller.
func BenchmarkLine(b *testing.B) {
	log := New(&bytes.Buffer{}, "p")
	for b.Loop() {
		log.Failure(KindJobFailed).Str(FieldJob, "0123456789abcdef").Str(FieldReason, "deadline").Msg("")
	}
}

// BenchmarkLineLeftOut measures the cost of one line above the rate.
func BenchmarkLineLeftOut(b *testing.B) {
	log := New(&bytes.Buffer{}, "p")
	for b.Loop() {
		log.Routine(KindAdmitted).Str(FieldJob, "0123456789abcdef").Str(FieldReason, "deadline").Msg("")
	}
}

// TestLinesOfManyGoroutines covers writers that share a log, also after its
// end: the race detector sees what they share.
func TestLinesOfManyGoroutines(t *testing.T) {
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
