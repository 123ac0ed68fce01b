package session

// Role is what a process does.
type Role string

const (
	// RoleEntry takes callers' jobs.
	RoleEntry Role = "entry"
	// RoleSidecar runs tasks on the minion beside it.
	RoleSidecar Role = "sidecar"
)

// Peer is one process of the system as others reach it.
type Peer struct {
	// Name is the name of the instance; it stays over restarts.
	Name string
	Role Role
	Zone string
	// Address is the "ip:port" of its RPC listener.
	Address string
	// Boot is unique to one life of the process.
	Boot string
}
