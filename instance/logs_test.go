package instance

import (
	"bytes"
	"slices"
	"strings"
	"sync"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/common/eventlog"
	"github.com/figring/figring/explain"
)

// logBuffer collects the log lines of several processes. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// story returns the log lines about a job and their explanation.
func (s *system) story(id string) explain.Timeline {
	s.t.Helper()
	lines, err := explain.Read(strings.NewReader(s.logs.String()))
	must.NoError(s.t, err)
	story, ok := explain.BuildTimeline(lines, id)
	must.True(s.t, ok)
	return story
}

// checkReruns fails the test for each task that started twice, unless the logs about
// its job contain a lost session. A sidecar stops the runs of an entry that it has not
// heard from for execution.SilenceLimit, which can happen on a machine short of CPU.
func (s *system) checkReruns() {
	s.t.Helper()
	begun := make(map[string]int)
	for _, entry := range s.ledger.Entries() {
		begun[entry.Task]++
		if begun[entry.Task] != 2 {
			continue
		}
		story := s.story(strings.SplitN(entry.Task, ".", 2)[0])
		if slices.ContainsFunc(story.Lines, isLostSession) {
			continue
		}
		s.t.Errorf("task %s started twice without a lost session: %s", entry.Task, story.Cause)
		for _, line := range story.Lines {
			s.t.Log(line.String())
		}
	}
}

func isLostSession(line explain.Line) bool {
	return line.Kind == eventlog.KindEntrySilent || line.Kind == eventlog.KindDependencyLost
}

// lostContact reports whether an entry has lost a session, or a sidecar an answer of its
// minion, since the start of the system.
func (s *system) lostContact() bool {
	for line := range strings.Lines(s.logs.String()) {
		lostSession := strings.Contains(line, `"event":"dependency_lost","dependency":"side-`)
		if lostSession || strings.Contains(line, "context deadline exceeded") {
			return true
		}
	}
	return false
}

// maxFailureLines bounds the log lines that logFailure prints.
const maxFailureLines = 80

// logFailure prints, if the test has failed, the last log lines that say why a job or a
// session did not go well.
func (s *system) logFailure() {
	if !s.t.Failed() {
		return
	}
	wanted := []eventlog.Kind{
		eventlog.KindRefused, eventlog.KindJobFailed, eventlog.KindOrderRefused, eventlog.KindOrderUnanswered,
		eventlog.KindDependencyLost, eventlog.KindDependencyRegained, eventlog.KindSession, eventlog.KindMinion,
	}
	var found []string
	for line := range strings.Lines(s.logs.String()) {
		if slices.ContainsFunc(wanted, func(kind eventlog.Kind) bool { return strings.Contains(line, `"event":"`+string(kind)+`"`) }) {
			found = append(found, line)
		}
	}
	found = found[max(0, len(found)-maxFailureLines):]
	s.t.Logf("the last %d lines about failures:\n%s", len(found), strings.Join(found, ""))
}
