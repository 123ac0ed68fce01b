package session

// The names of the net/rpc services and methods.
const (
	SidecarService = "Sidecar"
	EntryService   = "Entry"

	MethodHello    = SidecarService + ".Hello"
	MethodPoll     = SidecarService + ".Poll"
	MethodStart    = SidecarService + ".Start"
	MethodStop     = SidecarService + ".Stop"
	MethodAdopt    = SidecarService + ".Adopt"
	MethodManifest = SidecarService + ".Manifest"
	MethodAnnounce = EntryService + ".Announce"
	MethodJob      = EntryService + ".Job"
	MethodEnded    = EntryService + ".Ended"
	MethodPending  = EntryService + ".Pending"

	MethodOwnership = EntryService + ".Ownership"
)
