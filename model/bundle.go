package model

import "time"

// Bundle is the configuration that operators can change and roll out while
// processes run. Its version increases by one with every accepted change.
type Bundle struct {
	Version int64 `json:"version"`
	// ClosedZones lists the availability zones that operators have closed; no work
	// starts in them.
	ClosedZones []string `json:"closedZones"`
	// DrainedTargets lists sidecars that get no new work.
	DrainedTargets []string `json:"drainedTargets"`
	// DrainedEntries lists entries that operators have drained.
	DrainedEntries []string `json:"drainedEntries"`
	Callers        []Caller `json:"callers"`
	Limits         Limits   `json:"limits"`
}

// Caller is the client account of a team that may submit work.
type Caller struct {
	Name string `json:"name" validate:"required,max=64"`
	// TokenHash is the hex SHA-256 of the caller's bearer token.
	TokenHash string `json:"tokenHash" validate:"omitempty,len=64,hexadecimal"`
	// Weight is the caller's relative share under contention; zero means 1.
	Weight int `json:"weight" validate:"min=0,max=1000"`
	// TasksPerSecond limits the caller's admission rate over the whole system; zero
	// means no limit.
	TasksPerSecond float64 `json:"tasksPerSecond" validate:"min=0"`
	// Burst limits both the tasks that may be admitted at once and the tasks of one
	// job; zero means the tasks of one second and no limit on a job. A job larger
	// than one entry's share of the burst is admitted when that share is fully
	// available; the excess is then debited at the caller's rate.
	Burst int `json:"burst" validate:"min=0"`
	// Concurrency limits the caller's tasks in progress; zero means no limit.
	Concurrency int `json:"concurrency" validate:"min=0"`
}

// Limits are the limits that apply to every caller.
type Limits struct {
	// QueuedTasks limits the tasks queued in one entry; zero means the default.
	QueuedTasks int `json:"queuedTasks" validate:"min=0"`
	// MaxTimeout is the longest timeout of a job; zero means the default.
	MaxTimeout time.Duration `json:"maxTimeout" validate:"min=0"`
	// EjectionShare is the largest share of targets, in percent, that may be
	// ejected for failing; zero means the default.
	EjectionShare int `json:"ejectionShare" validate:"min=0,max=100"`
}

// ZoneOpen reports whether the bundle allows work to start in zone.
func (b *Bundle) ZoneOpen(zone string) bool {
	return !contains(b.ClosedZones, zone)
}

// TargetOpen reports whether the bundle allows work to start at the sidecar.
func (b *Bundle) TargetOpen(sidecar string) bool {
	return !contains(b.DrainedTargets, sidecar)
}

// EntryOpen reports whether the named entry is not drained.
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
