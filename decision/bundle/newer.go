package bundle

import "github.com/figring/figring/model"

// Newer returns the bundle to act on after incoming was read, and whether it
// differs from current. It never goes to a lower version: a read that was
// delayed and overtaken changes nothing.
func Newer(current, incoming model.Bundle) (model.Bundle, bool) {
	if incoming.Version <= current.Version {
		return current, false
	}
	return incoming, true
}
