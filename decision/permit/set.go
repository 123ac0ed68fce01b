package permit

import (
	"time"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// forgetAfter is how long an entry is remembered that neither sends nor is
// sent anything.
const forgetAfter = time.Minute

// Set holds a sidecar's permits by entry. It is not safe for concurrent
// use: the goroutine that owns the sidecar's state owns it too.
//
// Message numbers are drawn from one sequence for all entries, so that an
// entry that was forgotten and comes back never echoes a number that was
// given to a later message.
type Set struct {
	last    uint64
	highest int64
	holders map[model.Incarnation]*holder
	swept   time.Time
}

// NewSet returns a set without permits.
func NewSet() *Set {
	return &Set{holders: make(map[model.Incarnation]*holder)}
}

// RecordSend returns the number of the next message to entry and records now as
// its send time. It is called just before the message leaves.
func (s *Set) RecordSend(entry model.Incarnation, now time.Time) uint64 {
	s.last++
	held := s.holder(entry, now)
	held.lastSent = now
	held.record(s.last, now)
	return s.last
}

// RecordGrant takes a permit from entry. The permit ends TTL after the echoed
// message was sent, so a delay on the way never lengthens it. It is ignored
// when its echo is unknown or when a higher bundle version was seen from any
// entry, and it never shortens an earlier one.
func (s *Set) RecordGrant(entry model.Incarnation, permit wire.Permit, now time.Time) {
	if permit.BundleVersion < s.highest {
		return
	}
	s.highest = permit.BundleVersion
	held, known := s.holders[entry]
	if !known || permit.TTL <= 0 {
		return
	}
	sent, found := held.sentAt(permit.Echo)
	if !found {
		return
	}
	held.used = now
	if end := sent.Add(permit.TTL); end.After(held.expiry) {
		held.expiry = end
	}
}

// Revoke ends the permit of entry at once. A later permit, from this entry or
// another, must rest on bundleVersion or a higher one.
func (s *Set) Revoke(entry model.Incarnation, bundleVersion int64) {
	s.highest = max(s.highest, bundleVersion)
	if held, known := s.holders[entry]; known {
		held.expiry = time.Time{}
	}
}

// Valid reports whether entry may have a task started at now.
func (s *Set) Valid(entry model.Incarnation, now time.Time) bool {
	return s.Remaining(entry, now) > 0
}

// Remaining returns how long the permit of entry lasts; zero when it has none.
func (s *Set) Remaining(entry model.Incarnation, now time.Time) time.Duration {
	held, known := s.holders[entry]
	if !known || held.expiry.IsZero() {
		return 0
	}
	return max(held.expiry.Sub(now), 0)
}

// SinceLastSend returns the time since the last message to entry, or forgetAfter when
// none is remembered.
func (s *Set) SinceLastSend(entry model.Incarnation, now time.Time) time.Duration {
	held, known := s.holders[entry]
	if !known || held.lastSent.IsZero() {
		return forgetAfter
	}
	return now.Sub(held.lastSent)
}

// Known reports whether a message was sent to entry lately.
func (s *Set) Known(entry model.Incarnation) bool {
	_, known := s.holders[entry]
	return known
}

// HighestBundleVersion returns the highest bundle version seen from any entry.
func (s *Set) HighestBundleVersion() int64 { return s.highest }

func (s *Set) holder(entry model.Incarnation, now time.Time) *holder {
	s.sweep(now)
	held, known := s.holders[entry]
	if !known {
		held = &holder{}
		s.holders[entry] = held
	}
	held.used = now
	return held
}

func (s *Set) sweep(now time.Time) {
	if now.Sub(s.swept) < forgetAfter {
		return
	}
	s.swept = now
	for entry, held := range s.holders {
		if now.Sub(held.used) >= forgetAfter && !now.Before(held.expiry) {
			delete(s.holders, entry)
		}
	}
}
