package ownership

import "github.com/figring/figring/model"

// Session is what an observer read of one entry's session row.
type Session struct {
	Incarnation model.Incarnation
	// Leaving says that the entry wants to own nothing.
	Leaving bool
	// Version is the version of the session row, which grows with renewals.
	Version int64
}
