package session

import "github.com/figring/figring/work"

// Minion is what is known of one incarnation of a minion.
type Minion struct {
	ID      string
	Service string
	// Born is the Unix time in milliseconds of the incarnation's start.
	Born     int64
	Capacity work.Room
	Labels   []string
}
