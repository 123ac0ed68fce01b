package ejection

// classSuccesses holds the last two different targets that succeeded at a class
// of task. Two are enough to tell whether a target other than a given one did.
type classSuccesses[ID comparable] struct {
	last, previous       ID
	hasLast, hasPrevious bool
}

func (c *classSuccesses[ID]) recordSuccess(id ID) {
	if c.hasLast && c.last == id {
		return
	}
	c.previous, c.hasPrevious = c.last, c.hasLast
	c.last, c.hasLast = id, true
}

// otherSucceeded reports whether a target other than id is known to have
// succeeded.
func (c *classSuccesses[ID]) otherSucceeded(id ID) bool {
	return (c.hasLast && c.last != id) || (c.hasPrevious && c.previous != id)
}
