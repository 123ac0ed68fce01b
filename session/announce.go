package session

// AnnounceRequest sends an entry the peers that the sender announces. A sidecar asks the
// entry for a session with it, unless NoSession is set.
type AnnounceRequest struct {
	Peers []Peer
	// Discovered means that the sender has read the registered processes from the
	// table, so that the reply need not have any.
	Discovered bool
	// NoSession means that a sidecar only asks which entries there are.
	NoSession bool
}

// AnnounceReply returns the peers that the entry knows; to a sidecar, only the entries.
type AnnounceReply struct {
	Peers []Peer
}
