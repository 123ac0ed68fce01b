// Package eventlog writes one structured line for each decision. Lines go
// through a bounded ring and never block; each kind of line has a rate above
// which lines are left out and counted, so that a flood of one kind does not
// push the others out.
package eventlog

import (
	"io"
	"sync"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"
)

const (
	// ringSize is the number of lines that wait for the writer.
	ringSize = 2048
	// RoutineRate and RoutineBurst bound the lines a second of a kind that a
	// request causes in the ordinary course.
	RoutineRate  = 60
	RoutineBurst = 120
	// FailureRate and FailureBurst bound the lines a second of a kind that
	// tells of a failure or of a change of what the process believes.
	FailureRate  = 200
	FailureBurst = 600
	// summaryInterval is the least time between two lines on what was left out.
	summaryInterval = time.Second
)

// TimeFormat is how lines give the time of day.
const TimeFormat = "2006-01-02T15:04:05.000"

// Log writes the lines of one process.
type Log struct {
	logger log.Logger
	ring   *ring
	// failuresOnly leaves routine lines out.
	failuresOnly bool

	mu          sync.Mutex
	limits      map[Kind]*limit
	nextSummary time.Time
}

type limit struct {
	limiter *rate.Limiter
	dropped uint64
}

// New returns a log of the process that writes to out.
func New(out io.Writer, process string) *Log {
	lines := newRing(ringSize, out)
	return &Log{
		logger: log.Logger{
			Level:      log.InfoLevel,
			TimeFormat: TimeFormat,
			Context:    log.NewContext(nil).Str(FieldProcess, process).Value(),
			Writer:     log.IOWriter{Writer: lines},
		},
		ring:   lines,
		limits: make(map[Kind]*limit),
	}
}

// FailuresOnly leaves all routine lines out. It is called before the first line.
func (l *Log) FailuresOnly() { l.failuresOnly = true }

// Close writes what waits and ends the writer. It is called once.
func (l *Log) Close() error {
	l.ring.close()
	return nil
}

// Routine starts a line of a kind that a request causes in the ordinary
// course. It returns nil, which takes fields and is not written, above the rate.
func (l *Log) Routine(kind Kind) *log.Entry {
	if l.failuresOnly {
		return nil
	}
	return l.line(kind, RoutineRate, RoutineBurst)
}

// Failure starts a line about a failure or about a change of belief.
func (l *Log) Failure(kind Kind) *log.Entry {
	return l.line(kind, FailureRate, FailureBurst)
}

func (l *Log) line(kind Kind, perSecond rate.Limit, burst int) *log.Entry {
	now := time.Now()
	l.mu.Lock()
	known, ok := l.limits[kind]
	if !ok {
		known = &limit{limiter: rate.NewLimiter(perSecond, burst)}
		l.limits[kind] = known
	}
	allowed := known.limiter.AllowN(now, 1)
	if !allowed {
		known.dropped++
	}
	summary := l.summary(now)
	l.mu.Unlock()
	l.writeSummary(summary)
	if !allowed {
		return nil
	}
	return l.logger.Info().Str(FieldKind, string(kind))
}

// summary returns the counts of lines left out, when it is time to tell.
func (l *Log) summary(now time.Time) map[Kind]uint64 {
	if now.Before(l.nextSummary) {
		return nil
	}
	l.nextSummary = now.Add(summaryInterval)
	var counts map[Kind]uint64
	for kind, known := range l.limits {
		if known.dropped == 0 {
			continue
		}
		if counts == nil {
			counts = make(map[Kind]uint64)
		}
		counts[kind] = known.dropped
		known.dropped = 0
	}
	return counts
}

func (l *Log) writeSummary(counts map[Kind]uint64) {
	for kind, count := range counts {
		l.logger.Info().Str(FieldKind, string(KindLinesDropped)).Str(FieldReason, string(kind)).Uint64(FieldCount, count).Msg("")
	}
}
