package work

// Checkpoint is a minion's name for saved work of a task; empty when there is
// none. It is valid for that task alone, on every minion.
type Checkpoint string

// NewestCheckpoint returns the newer checkpoint if there is one, the older one
// otherwise: a run that has saved nothing leaves what was saved before.
func NewestCheckpoint(older, newer Checkpoint) Checkpoint {
	if newer != "" {
		return newer
	}
	return older
}
