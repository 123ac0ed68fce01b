package store

import "context"

// AnnouncementState is the state that a minion reports in an announcement.
type AnnouncementState string

const (
	// MinionReady means that the minion accepts tasks.
	MinionReady AnnouncementState = "ready"
	// MinionLeaving means that the minion finishes its running tasks and accepts
	// no more.
	MinionLeaving AnnouncementState = "leaving"
)

// Announcement is the message in which a minion reports its state, address and
// capacity to the sidecar on the same worker.
type Announcement struct {
	Minion string            `json:"minion" validate:"required,max=128"`
	State  AnnouncementState `json:"state" validate:"oneof=ready leaving"`
	// Address is the "ip:port" at which the minion listens.
	Address string `json:"address" validate:"required,hostname_port"`
	// Slots is the maximum number of tasks that the minion runs concurrently.
	Slots int `json:"slots" validate:"min=1,max=4096"`
	// Connections is the maximum number of connections that the minion accepts.
	Connections int `json:"connections" validate:"min=1,max=65536"`
	// Cores and MemoryBytes are the resources of the worker.
	Cores       int   `json:"cores" validate:"min=0"`
	MemoryBytes int64 `json:"memoryBytes" validate:"min=0"`
}

// Announcements delivers the announcements of the minion that shares a worker
// with the sidecar.
type Announcements interface {
	// Next blocks until there is an announcement to return or ctx is done.
	Next(ctx context.Context) (Announcement, error)
}
