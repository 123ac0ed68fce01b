package permit

import (
	"time"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// forgetAfter is how long the state of an entry is kept after the last message to
// it and the last permit from it.
const forgetAfter = time.Minute

// Set holds the permits that entries granted to a sidecar. It is not safe for
// concurrent use: the goroutine that owns the sidecar's state also owns the Set.
//
// Message numbers come from one sequence for all entries. After an entry's state
// was removed, a late permit from that entry therefore can't echo the number of a
// message that was sent since.
type Set struct {
	// lastNumber is the number of the newest message to any entry.
	lastNumber uint64
	// highestBundle is the highest bundle version that any entry has named.
	highestBundle int64
	entries       map[model.Incarnation]*entryState
	// lastSweep is when unused entries were last removed.
	lastSweep time.Time
}

// NewSet returns a set without permits.
func NewSet() *Set {
	return &Set{entries: make(map[model.Incarnation]*entryState)}
}

// RecordSend returns the number of the next message to entry and records now as
// its send time. The caller calls it immediately before it sends the message.
func (s *Set) RecordSend(entry model.Incarnation, now time.Time) uint64 {
	s.lastNumber++
	state := s.stateOf(entry, now)
	state.lastSent = now
	state.record(s.lastNumber, now)
	return s.lastNumber
}

// RecordGrant records a permit from entry. The permit ends TTL after the echoed
// message was sent, so that network delay never extends it. A permit is ignored
// when the echoed message is unknown or when any entry has named a higher bundle
// version. A permit never shortens an earlier one.
func (s *Set) RecordGrant(entry model.Incarnation, permit wire.Permit, now time.Time) {
	if permit.BundleVersion < s.highestBundle {
		return
	}
	s.highestBundle = permit.BundleVersion
	state, known := s.entries[entry]
	if !known || permit.TTL <= 0 {
		return
	}
	sent, found := state.sentAt(permit.Echo)
	if !found {
		return
	}
	state.lastUsed = now
	if end := sent.Add(permit.TTL); end.After(state.expiry) {
		state.expiry = end
	}
}

// Revoke ends the permit of entry immediately. Later permits, from this entry or
// another, are ignored unless they name bundleVersion or a higher version.
func (s *Set) Revoke(entry model.Incarnation, bundleVersion int64) {
	s.highestBundle = max(s.highestBundle, bundleVersion)
	if state, known := s.entries[entry]; known {
		state.expiry = time.Time{}
	}
}

// Valid reports whether the sidecar may start a task of entry at now.
func (s *Set) Valid(entry model.Incarnation, now time.Time) bool {
	return s.Remaining(entry, now) > 0
}

// Remaining returns the time left on the permit of entry, or zero when it has none.
func (s *Set) Remaining(entry model.Incarnation, now time.Time) time.Duration {
	state, known := s.entries[entry]
	if !known || state.expiry.IsZero() {
		return 0
	}
	return max(state.expiry.Sub(now), 0)
}

// SinceLastSend returns the time since the last message to entry, or forgetAfter
// when none is recorded.
func (s *Set) SinceLastSend(entry model.Incarnation, now time.Time) time.Duration {
	state, known := s.entries[entry]
	if !known || state.lastSent.IsZero() {
		return forgetAfter
	}
	return now.Sub(state.lastSent)
}

// Known reports whether a state of entry is kept. A message to entry creates it,
// and it is removed after forgetAfter without use.
func (s *Set) Known(entry model.Incarnation) bool {
	_, known := s.entries[entry]
	return known
}

// HighestBundleVersion returns the highest bundle version seen from any entry.
func (s *Set) HighestBundleVersion() int64 { return s.highestBundle }

// stateOf returns the state of an entry, which it creates if there is none.
func (s *Set) stateOf(entry model.Incarnation, now time.Time) *entryState {
	s.removeUnused(now)
	state, known := s.entries[entry]
	if !known {
		state = &entryState{}
		s.entries[entry] = state
	}
	state.lastUsed = now
	return state
}

// removeUnused removes entries without a valid permit that were not used for
// forgetAfter. It runs at most once per forgetAfter.
func (s *Set) removeUnused(now time.Time) {
	if now.Sub(s.lastSweep) < forgetAfter {
		return
	}
	s.lastSweep = now
	for entry, state := range s.entries {
		if now.Sub(state.lastUsed) >= forgetAfter && !now.Before(state.expiry) {
			delete(s.entries, entry)
		}
	}
}
