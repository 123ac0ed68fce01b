package bundle

import (
	"time"

	"github.com/figring/figring/model"
)

// View is a process's view of the bundle in force: the bundle as last read and the
// time until which the process may act on it.
type View struct {
	Bundle model.Bundle
	// FreshUntil is the time at which the latest accepted read was sent, plus
	// model.BundleTTL. It is zero before the first read.
	FreshUntil time.Time
}

// Fresh returns the bundle, and false instead if it is no longer fresh at now and
// must not be acted on.
func (v View) Fresh(now time.Time) (model.Bundle, bool) {
	if !now.Before(v.FreshUntil) {
		return model.Bundle{}, false
	}
	return v.Bundle, true
}

// Observe returns the view after a read, sent at the time sent, has returned
// incoming. It reports dropped if the version of incoming is lower than that of
// the view, which then stays as it is. FreshUntil never moves back: a read sent
// at t that returned an older version than one seen since then proves that every
// newer version was accepted after t.
func (v View) Observe(incoming model.Bundle, sent time.Time) (next View, dropped bool) {
	if incoming.Version < v.Bundle.Version {
		return v, true
	}
	next = v
	next.Bundle, _ = Newer(v.Bundle, incoming)
	if until := sent.Add(model.BundleTTL); until.After(v.FreshUntil) {
		next.FreshUntil = until
	}
	return next, false
}
