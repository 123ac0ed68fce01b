// Package eventlog writes one structured log line for each decision. Lines pass
// through a bounded queue, so that logging never blocks the caller. Each kind of
// line is rate-limited; lines above the limit are dropped and counted, so that a
// flood of one kind does not displace the others.
package eventlog

import (
	"io"
	"sync"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"
)

const (
	// queueSize is the number of lines that can wait for the writer.
	queueSize = 2048
	// RoutineRate and RoutineBurst limit the lines per second of each kind that
	// is logged during normal request handling.
	RoutineRate  = 60
	RoutineBurst = 120
	// FailureRate and FailureBurst limit the lines per second of each kind that
	// reports a failure or a change in the process's view of the system.
	FailureRate  = 200
	FailureBurst = 600
	// summaryInterval is the minimum time between two summaries of dropped lines.
	summaryInterval = time.Second
)

// TimeFormat is the layout of a line's timestamp.
const TimeFormat = "2006-01-02T15:04:05.000"

// Log is the event log of one process. It is safe for concurrent use.
type Log struct {
	logger log.Logger
	queue  *lineQueue
	// failuresOnly suppresses routine lines.
	failuresOnly bool

	mu          sync.Mutex
	limits      map[Kind]*kindLimiter
	nextSummary time.Time
}

// kindLimiter limits the rate of one kind and counts its dropped lines.
type kindLimiter struct {
	limiter *rate.Limiter
	dropped uint64
}

// New returns a log that writes the lines of the named process to out.
func New(out io.Writer, process string) *Log {
	queue := newLineQueue(queueSize, out)
	return &Log{
		logger: log.Logger{
			Level:      log.InfoLevel,
			TimeFormat: TimeFormat,
			Context:    log.NewContext(nil).Str(FieldProcess, process).Value(),
			Writer:     log.IOWriter{Writer: queue},
		},
		queue:  queue,
		limits: make(map[Kind]*kindLimiter),
	}
}

// FailuresOnly suppresses all routine lines. Call it before the first line is
// logged.
func (l *Log) FailuresOnly() { l.failuresOnly = true }

// Close writes the queued lines and stops the writer. Call it once.
func (l *Log) Close() error {
	l.queue.close()
	return nil
}

// Routine starts a line of a kind that is logged during normal request handling.
// Above the rate limit it returns nil, on which fields can be set but which is
// not written.
func (l *Log) Routine(kind Kind) *log.Entry {
	if l.failuresOnly {
		return nil
	}
	return l.line(kind, RoutineRate, RoutineBurst)
}

// Failure starts a line that reports a failure or a change in the process's view
// of the system. Above the rate limit it returns nil, as Routine does.
func (l *Log) Failure(kind Kind) *log.Entry {
	return l.line(kind, FailureRate, FailureBurst)
}

func (l *Log) line(kind Kind, perSecond rate.Limit, burst int) *log.Entry {
	now := time.Now()
	l.mu.Lock()
	kindLimit, ok := l.limits[kind]
	if !ok {
		kindLimit = &kindLimiter{limiter: rate.NewLimiter(perSecond, burst)}
		l.limits[kind] = kindLimit
	}
	allowed := kindLimit.limiter.AllowN(now, 1)
	if !allowed {
		kindLimit.dropped++
	}
	summary := l.takeSummary(now)
	l.mu.Unlock()
	l.writeSummary(summary)
	if !allowed {
		return nil
	}
	return l.logger.Info().Str(FieldKind, string(kind))
}

// takeSummary returns and resets the counts of dropped lines by kind, at most once
// in summaryInterval. Otherwise it returns nil.
func (l *Log) takeSummary(now time.Time) map[Kind]uint64 {
	if now.Before(l.nextSummary) {
		return nil
	}
	l.nextSummary = now.Add(summaryInterval)
	var counts map[Kind]uint64
	for kind, kindLimit := range l.limits {
		if kindLimit.dropped == 0 {
			continue
		}
		if counts == nil {
			counts = make(map[Kind]uint64)
		}
		counts[kind] = kindLimit.dropped
		kindLimit.dropped = 0
	}
	return counts
}

func (l *Log) writeSummary(counts map[Kind]uint64) {
	for kind, count := range counts {
		l.logger.Info().Str(FieldKind, string(KindLinesDropped)).Str(FieldReason, string(kind)).Uint64(FieldCount, count).Msg("")
	}
}
