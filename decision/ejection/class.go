package ejection

// class remembers the last two different targets that succeeded at a class of
// task, which is enough to say whether a target other than a given one did.
type class[ID comparable] struct {
	last, previous       ID
	hasLast, hasPrevious bool
}

func (c *class[ID]) succeeded(id ID) {
	if c.hasLast && c.last == id {
		return
	}
	c.previous, c.hasPrevious = c.last, c.hasLast
	c.last, c.hasLast = id, true
}

func (c *class[ID]) otherSucceeded(id ID) bool {
	return (c.hasLast && c.last != id) || (c.hasPrevious && c.previous != id)
}
