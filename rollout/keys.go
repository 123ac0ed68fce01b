package rollout

import "fmt"

// The rows that this package uses.
const (
	// CurrentKey is the row of the bundle in force. Without it, version 0 is
	// in force: an empty bundle.
	CurrentKey     = "bundle/current"
	proposalPrefix = "bundle/proposals/"
	historyPrefix  = "bundle/history/"
)

func proposalKey(id string) string { return proposalPrefix + id }

// historyKey pads the version, so that the order of keys is that of versions.
func historyKey(version int64) string { return fmt.Sprintf("%s%019d", historyPrefix, version) }
