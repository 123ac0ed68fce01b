package rollout

import "fmt"

// The keys and key prefixes of the rows of this package.
const (
	// CurrentKey is the key of the row of the bundle in force. If the row is absent,
	// version 0 is in force, which is an empty bundle.
	CurrentKey     = "bundle/current"
	proposalPrefix = "bundle/proposals/"
	historyPrefix  = "bundle/history/"
)

func proposalKey(id string) string { return proposalPrefix + id }

// historyKey pads the version with zeros, so that keys sort in the order of versions.
func historyKey(version int64) string { return fmt.Sprintf("%s%019d", historyPrefix, version) }
