package bundle

import "github.com/figring/figring/model"

// CloseZone takes an availability zone out of service: no task starts there.
type CloseZone struct {
	Zone string
}

// Emergency implements Edit.
func (e CloseZone) Emergency() bool { return true }

// TakesOutOfService implements Edit.
func (e CloseZone) TakesOutOfService() bool { return true }

func (e CloseZone) apply(b *model.Bundle) {
	b.ClosedZones = addName(b.ClosedZones, e.Zone)
}

func (e CloseZone) check(rules Rules) error {
	return rules.checkZone("zone", e.Zone)
}
