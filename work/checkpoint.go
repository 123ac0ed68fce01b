package work

// Checkpoint is the identifier that a minion assigns to the saved progress of a
// task; empty if there is none. It is valid on every minion, but only for that
// task.
type Checkpoint string

// NewestCheckpoint returns newer, or older if newer is empty: a run that saved no
// progress does not discard what an earlier run saved.
func NewestCheckpoint(older, newer Checkpoint) Checkpoint {
	if newer != "" {
		return newer
	}
	return older
}
