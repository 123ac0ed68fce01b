package intake

// order lists clients by the time of their last bytes, the longest ago first.
type order struct {
	first, last *Client
}

func (o *order) append(c *Client) {
	c.before, c.after = o.last, nil
	if o.last == nil {
		o.first = c
	} else {
		o.last.after = c
	}
	o.last = c
}

func (o *order) remove(c *Client) {
	if c.before == nil {
		o.first = c.after
	} else {
		c.before.after = c.after
	}
	if c.after == nil {
		o.last = c.before
	} else {
		c.after.before = c.before
	}
	c.before, c.after = nil, nil
}
