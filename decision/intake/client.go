package intake

import "time"

// Client is one connection of a client. Its fields belong to Clients, except Owner.
type Client struct {
	// Owner is the connection, for the caller.
	Owner any

	reserved bool
	member   bool
	evicted  bool
	phase    Phase
	since    time.Time
	bytes    int64
	// before and after are the neighbours in the order of the last bytes.
	before, after *Client
}

// Phase returns how far the client's request is.
func (c *Client) Phase() Phase { return c.phase }

// Bytes returns the bytes that are buffered for the client.
func (c *Client) Bytes() int64 { return c.bytes }

// Evicted reports whether the client has given way.
func (c *Client) Evicted() bool { return c.evicted }

// closable reports whether the client may give way.
func (c *Client) closable() bool { return c.phase != Serving && !c.evicted }
