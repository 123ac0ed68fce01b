package connguard

// rpcConn is a connection of another process. It counts until the process has proved that
// it knows the secret.
type rpcConn struct{ *tracked }

// Authenticated records that the other side belongs to the system.
func (c rpcConn) Authenticated() { c.guard.leave(c.tracked) }
