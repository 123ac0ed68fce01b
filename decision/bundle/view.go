package bundle

import (
	"time"

	"github.com/figring/figring/model"
)

// View is a bundle together with the time until which it may be acted on.
type View struct {
	Bundle model.Bundle
	// FreshUntil is the time at which the read that the view rests on was sent,
	// plus model.BundleTTL. It is zero before the first read.
	FreshUntil time.Time
}

// Fresh returns the bundle when it may still be acted on at now.
func (v View) Fresh(now time.Time) (model.Bundle, bool) {
	if !now.Before(v.FreshUntil) {
		return model.Bundle{}, false
	}
	return v.Bundle, true
}

// Observe returns the view after a read that was sent at sent returned
// incoming, and whether incoming has a lower version than the view and was
// dropped. The end of freshness never moves back: a read sent at t that
// returned an older version than the one seen since proves that every newer
// version was accepted after t.
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
