package bundle

import "github.com/figring/figring/model"

// Newer returns incoming if its version is higher than that of current, and
// current otherwise; the second result reports whether it returned incoming. A
// delayed read that returns an older version therefore changes nothing.
func Newer(current, incoming model.Bundle) (model.Bundle, bool) {
	if incoming.Version <= current.Version {
		return current, false
	}
	return incoming, true
}
