package model

import "time"

// Bundle is the rolled-out configuration: everything that operators change
// while processes run. Its version grows by one with every accepted change.
type Bundle struct {
	Version int64 `json:"version"`
	// ClosedZones lists the availability zones that operators have taken out.
	ClosedZones []string `json:"closedZones"`
	// DrainedTargets lists sidecars that get no new work.
	DrainedTargets []string `json:"drainedTargets"`
	// DrainedEntries lists entries that operators want to hand over.
	DrainedEntries []string `json:"drainedEntries"`
	Callers        []Caller `json:"callers"`
	Limits         Limits   `json:"limits"`
}

// Caller is a team that may submit work.
type Caller struct {
	Name string `json:"name" validate:"required,max=64"`
	// TokenHash is the hex SHA-256 of the caller's bearer token.
	TokenHash string `json:"tokenHash" validate:"omitempty,len=64,hexadecimal"`
	// Weight is the caller's share under contention; zero means 1.
	Weight int `json:"weight" validate:"min=0,max=1000"`
	// TasksPerSecond bounds admission over the whole system; zero means no bound.
	TasksPerSecond float64 `json:"tasksPerSecond" validate:"min=0"`
	// Burst is the number of tasks that may be admitted at once, and of the
	// largest job; zero means one second's worth and no bound on a job. A job
	// larger than what one entry may admit at once is taken when that is there
	// whole, and the rest is paid at the caller's rate.
	Burst int `json:"burst" validate:"min=0"`
	// Concurrency bounds the caller's tasks in progress; zero means no bound.
	Concurrency int `json:"concurrency" validate:"min=0"`
}

// Limits are the bounds that apply to every caller.
type Limits struct {
	// QueuedTasks bounds the tasks waiting in one entry; zero means the default.
	QueuedTasks int `json:"queuedTasks" validate:"min=0"`
	// MaxTimeout bounds a job's timeout; zero means the default.
	MaxTimeout time.Duration `json:"maxTimeout" validate:"min=0"`
	// EjectionShare is the largest share of targets, in percent, that may be
	// ejected for failing; zero means the default.
	EjectionShare int `json:"ejectionShare" validate:"min=0,max=100"`
}

// ZoneOpen reports whether the bundle lets work start in zone.
func (b *Bundle) ZoneOpen(zone string) bool {
	return !contains(b.ClosedZones, zone)
}

// TargetOpen reports whether the bundle lets work start at the sidecar.
func (b *Bundle) TargetOpen(sidecar string) bool {
	return !contains(b.DrainedTargets, sidecar)
}

// EntryOpen reports whether the bundle lets the entry of that name run.
func (b *Bundle) EntryOpen(name string) bool {
	return !contains(b.DrainedEntries, name)
}

func contains(list []string, item string) bool {
	for _, one := range list {
		if one == item {
			return true
		}
	}
	return false
}
