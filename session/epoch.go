package session

// Epoch numbers the stretches of a stored job's life in which its owner knows what became of
// every run. Before a task is started again of whose former run no end is known, the owner
// stores the next epoch. An end of an earlier epoch may thus be followed by another run of its
// task, while after one of the present epoch no run was started that its owner doesn't know
// of.
type Epoch int

const (
	// UnknownEpoch is that of orders and jobs of builds without epochs, and of runs that an
	// earlier process of the sidecar has started.
	UnknownEpoch Epoch = 0
	// FirstEpoch is that of a new job: no end of an earlier one exists.
	FirstEpoch Epoch = 1
)

// Relation says whether a task may have been started again after an end.
type Relation int

const (
	// RelationUnknown means that the epochs don't tell.
	RelationUnknown Relation = iota
	// Current means that no other run of the task was started after the end.
	Current
	// Superseded means that the task may have been started again.
	Superseded
)

// Relate returns how an end of the epoch stands to its job, which is at another or the same.
func (e Epoch) Relate(job Epoch) Relation {
	switch {
	case job == FirstEpoch, e != UnknownEpoch && job != UnknownEpoch && e >= job:
		return Current
	case e != UnknownEpoch && job != UnknownEpoch:
		return Superseded
	}
	return RelationUnknown
}

// FromStore returns the epoch of a job as read from the job store. The row of an earlier build
// has none: what became of the job's runs is not known, as after the first epoch.
func (e Epoch) FromStore() Epoch {
	if e == UnknownEpoch {
		return FirstEpoch + 1
	}
	return e
}

// AfterTakeover returns the epoch of a job that is taken over in this one, as read from the job
// store. It is the next one unless all sidecars have told their ends of the job.
func (e Epoch) AfterTakeover(allTold bool) Epoch {
	if allTold {
		return e.FromStore()
	}
	return e.FromStore() + 1
}
