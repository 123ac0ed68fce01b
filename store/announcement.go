package store

import "context"

// AnnouncementState is what a minion says about itself.
type AnnouncementState string

const (
	// MinionReady means that the minion takes work.
	MinionReady AnnouncementState = "ready"
	// MinionLeaving means that the minion finishes what runs and takes no more.
	MinionLeaving AnnouncementState = "leaving"
)

// Announcement is what a minion says of itself to the sidecar beside it.
type Announcement struct {
	Minion string            `json:"minion" validate:"required,max=128"`
	State  AnnouncementState `json:"state" validate:"oneof=ready leaving"`
	// Address is the minion's own "ip:port".
	Address string `json:"address" validate:"required,hostname_port"`
	// Slots is the number of tasks that the minion runs at once.
	Slots int `json:"slots" validate:"min=1,max=4096"`
	// Connections is the number of connections that the minion accepts.
	Connections int `json:"connections" validate:"min=1,max=65536"`
	// Cores and MemoryBytes describe the worker.
	Cores       int   `json:"cores" validate:"min=0"`
	MemoryBytes int64 `json:"memoryBytes" validate:"min=0"`
}

// Announcements delivers what the minion beside a sidecar says of itself.
type Announcements interface {
	// Next blocks until the minion announces itself or ctx ends.
	Next(ctx context.Context) (Announcement, error)
}
