package executor

import (
	"maps"
	"time"

	"github.com/figring/figring/decision/execution"
	"github.com/figring/figring/session"
)

func (e *Executor) replaceSession(entry string, with *conn) {
	e.mu.Lock()
	old := e.sessions[entry]
	e.sessions[entry] = with
	e.mu.Unlock()
	if old != nil && old != with {
		old.markClosed()
		_ = old.raw.Close()
	}
}

func (e *Executor) dropSession(entry string, ended *conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sessions[entry] == ended {
		delete(e.sessions, entry)
	}
}

// closeSession closes the connection of an entry that has sent no message for too
// long. If the entry's instance has lost power, nothing else closes it.
func (e *Executor) closeSession(entry string) {
	e.mu.Lock()
	open := e.sessions[entry]
	delete(e.sessions, entry)
	e.mu.Unlock()
	if open != nil {
		open.markClosed()
		_ = open.raw.Close()
	}
}

// connected reports whether the entry has a session.
func (e *Executor) connected(entry string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sessions[entry] != nil
}

// sessionCount returns the number of entries that have a session.
func (e *Executor) sessionCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.sessions)
}

// maxKnownSidecars returns the largest number of sidecars that an entry with a
// session has reported.
func (e *Executor) maxKnownSidecars() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	most := 0
	for _, open := range e.sessions {
		most = max(most, int(open.sidecars.Load()))
	}
	return most
}

// setDismissed sets the entries whose sessions are surplus, and wakes their polls
// if the set has changed.
func (e *Executor) setDismissed(entries map[string]bool) {
	e.mu.Lock()
	changed := !maps.Equal(e.dismissed, entries)
	e.dismissed = entries
	e.mu.Unlock()
	if !changed {
		return
	}
	for entry := range entries {
		e.wakePoll(execution.NotifyEntry{Entry: entry})
	}
}

// stateFor returns the state as it is sent to an entry. It must be called from
// the loop.
func (e *Executor) stateFor(entry string, now time.Time) session.State {
	state := e.core.StateFor(entry, now)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dismissed[entry] {
		state.Accepting = false
		state.Reason = session.RefusedTooManyEntries
	}
	return state
}

func (e *Executor) wakePoll(wake execution.NotifyEntry) {
	e.mu.Lock()
	open := e.sessions[wake.Entry]
	e.mu.Unlock()
	if open == nil {
		return
	}
	signal := open.changes
	if wake.Event {
		signal = open.events
	}
	select {
	case signal <- struct{}{}:
	default:
	}
}
