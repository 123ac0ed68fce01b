package permit

import (
	"time"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// forgetAfter is how long an entry is remembered that neither sends nor is
// sent anything.
const forgetAfter = time.Minute

// Ledger holds a sidecar's permits by entry. It is not safe for concurrent
// use: the goroutine that owns the sidecar's state owns it too.
//
// Message numbers are drawn from one sequence for all entries, so that an
// entry that was forgotten and comes back never echoes a number that was
// given to a later message.
type Ledger struct {
	last    uint64
	highest int64
	holders map[model.Incarnation]*holder
	swept   time.Time
}

// NewLedger returns a ledger without permits.
func NewLedger() *Ledger {
	return &Ledger{holders: make(map[model.Incarnation]*holder)}
}

// Sending returns the number of the next message to entry and records now as
// its send time. It is called just before the message leaves.
func (l *Ledger) Sending(entry model.Incarnation, now time.Time) uint64 {
	l.last++
	held := l.holder(entry, now)
	held.lastSent = now
	held.record(l.last, now)
	return l.last
}

// Granted takes a permit from entry. The permit ends TTL after the echoed
// message was sent, so a delay on the way never lengthens it. It is ignored
// when its echo is unknown or when a higher bundle version was seen from any
// entry, and it never shortens an earlier one.
func (l *Ledger) Granted(entry model.Incarnation, permit wire.Permit, now time.Time) {
	if permit.BundleVersion < l.highest {
		return
	}
	l.highest = permit.BundleVersion
	held, known := l.holders[entry]
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
func (l *Ledger) Revoke(entry model.Incarnation, bundleVersion int64) {
	l.highest = max(l.highest, bundleVersion)
	if held, known := l.holders[entry]; known {
		held.expiry = time.Time{}
	}
}

// Live reports whether entry may have a task started at now.
func (l *Ledger) Live(entry model.Incarnation, now time.Time) bool {
	return l.Remaining(entry, now) > 0
}

// Remaining returns how long the permit of entry lasts; zero when it has none.
func (l *Ledger) Remaining(entry model.Incarnation, now time.Time) time.Duration {
	held, known := l.holders[entry]
	if !known || held.expiry.IsZero() {
		return 0
	}
	return max(held.expiry.Sub(now), 0)
}

// Quiet returns the time since the last message to entry, or forgetAfter when
// none is remembered.
func (l *Ledger) Quiet(entry model.Incarnation, now time.Time) time.Duration {
	held, known := l.holders[entry]
	if !known || held.lastSent.IsZero() {
		return forgetAfter
	}
	return now.Sub(held.lastSent)
}

// Known reports whether a message was sent to entry lately.
func (l *Ledger) Known(entry model.Incarnation) bool {
	_, known := l.holders[entry]
	return known
}

// Highest returns the highest bundle version seen from any entry.
func (l *Ledger) Highest() int64 { return l.highest }

func (l *Ledger) holder(entry model.Incarnation, now time.Time) *holder {
	l.sweep(now)
	held, known := l.holders[entry]
	if !known {
		held = &holder{}
		l.holders[entry] = held
	}
	held.used = now
	return held
}

func (l *Ledger) sweep(now time.Time) {
	if now.Sub(l.swept) < forgetAfter {
		return
	}
	l.swept = now
	for entry, held := range l.holders {
		if now.Sub(held.used) >= forgetAfter && !now.Before(held.expiry) {
			delete(l.holders, entry)
		}
	}
}
