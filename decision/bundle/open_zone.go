package bundle

import "github.com/figring/figring/model"

// OpenZone puts a closed availability zone back into service.
type OpenZone struct {
	Zone string
}

// Emergency implements Edit.
func (e OpenZone) Emergency() bool { return true }

// TakesOutOfService implements Edit.
func (e OpenZone) TakesOutOfService() bool { return false }

func (e OpenZone) apply(b *model.Bundle) {
	b.ClosedZones = removeName(b.ClosedZones, e.Zone)
}

func (e OpenZone) check(rules Rules) error {
	return rules.checkZone("zone", e.Zone)
}
