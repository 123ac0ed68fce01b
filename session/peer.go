package session

// Role is the function of a process in the system.
type Role string

const (
	// RoleEntry accepts jobs from callers and dispatches their tasks.
	RoleEntry Role = "entry"
	// RoleSidecar runs tasks on the minion beside it.
	RoleSidecar Role = "sidecar"
)

// Peer identifies a process of the system and says how to reach it.
type Peer struct {
	// Name is the name of the instance; it does not change on a restart.
	Name string
	Role Role
	Zone string
	// Address is the "ip:port" of its RPC listener.
	Address string
	// Boot identifies the incarnation of the process; each start has a new one.
	Boot string
}
