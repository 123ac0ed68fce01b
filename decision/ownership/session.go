package ownership

import "github.com/figring/figring/model"

// Session is the session row of one entry, as an observer read it.
type Session struct {
	Incarnation model.Incarnation
	// Leaving is set if the entry asks to own no partitions.
	Leaving bool
	// Version is the version of the session row, which grows with each renewal.
	Version int64
}
