package entry

import "github.com/figring/figring/model"

// OwnerStatus is a summary of an owner's state.
type OwnerStatus struct {
	Jobs    int            `json:"jobs"`
	Queued  int            `json:"queuedTasks"`
	Running int            `json:"dispatchedTasks"`
	Keys    int            `json:"knownKeys"`
	Targets []TargetStatus `json:"targets"`
}

// TargetStatus is a summary of what an entry knows about one sidecar.
type TargetStatus struct {
	Sidecar     string            `json:"sidecar"`
	Incarnation model.Incarnation `json:"incarnation"`
	Zone        string            `json:"zone"`
	Worker      string            `json:"worker"`
	State       string            `json:"state"`
	Open        bool              `json:"open"`
	Slots       int               `json:"slots"`
	HeardMsAgo  int64             `json:"heardMsAgo"`
}

// Status is a summary of one entry's state.
type Status struct {
	Name          string            `json:"name"`
	Incarnation   model.Incarnation `json:"incarnation"`
	Zone          string            `json:"zone"`
	Ready         bool              `json:"ready"`
	Draining      bool              `json:"draining"`
	LeaseMs       int64             `json:"leaseMs"`
	BundleVersion int64             `json:"bundleVersion"`
	BundleFreshMs int64             `json:"bundleFreshMs"`
	Partitions    int               `json:"partitions"`
	Owner         OwnerStatus       `json:"owner"`
}

// EntryReport is the status that one entry returned, or the error of the request
// for it.
type EntryReport struct {
	Name        string            `json:"name"`
	Incarnation model.Incarnation `json:"incarnation"`
	Status      *Status           `json:"status,omitempty"`
	Error       string            `json:"error,omitempty"`
}

// SystemStatus holds a report of every live entry.
type SystemStatus struct {
	Entries []EntryReport `json:"entries"`
}
