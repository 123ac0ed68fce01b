package sidecar

import (
	"time"
)

// Defaults for settings that are zero.
const (
	defaultRecordLimit = 100_000
	defaultResultBytes = 8 << 20
	defaultDrainLimit  = 60 * time.Second
)

// Settings configures a sidecar. The settings don't change while it runs.
type Settings struct {
	Name   string `json:"name" validate:"required,max=128"`
	Zone   string `json:"zone" validate:"required,max=64"`
	Rack   string `json:"rack" validate:"max=64"`
	Worker string `json:"worker" validate:"required,max=128"`
	// RPCListen is the "ip:port" to listen on for calls from entries. Port 0
	// selects a free port.
	RPCListen string `json:"rpcListen" validate:"required,hostname_port"`
	// RPCAdvertise is the address that entries dial. Empty means the address of
	// the listener.
	RPCAdvertise string `json:"rpcAdvertise" validate:"omitempty,hostname_port"`
	// AnnounceListen is the address at which the minion announces itself. Empty
	// disables the listener.
	AnnounceListen string `json:"announceListen" validate:"omitempty,hostname_port"`
	// StatusListen is the address of /livez, /readyz and /metrics. Empty disables
	// them.
	StatusListen string `json:"statusListen" validate:"omitempty,hostname_port"`
	PlatformURL  string `json:"platformURL" validate:"omitempty,url"`
	Secret       string `json:"secret" validate:"required"`
	// QueueCapacity is the maximum number of queued tasks. Zero means the number
	// of slots.
	QueueCapacity int `json:"queueCapacity" validate:"min=0,max=4096"`
	// RecordLimit is the maximum number of records of started tasks. Zero means
	// 100,000.
	RecordLimit int `json:"recordLimit" validate:"min=0"`
	// ResultBytes is the maximum total size of the bodies of kept results. Zero
	// means 8 MiB.
	ResultBytes int `json:"resultBytes" validate:"min=0"`
	// DrainLimit bounds the wait for running tasks during shutdown. Zero means
	// 60 s.
	DrainLimit time.Duration `json:"drainLimit" validate:"min=0"`
}

func (s Settings) withDefaults() Settings {
	if s.RecordLimit == 0 {
		s.RecordLimit = defaultRecordLimit
	}
	if s.ResultBytes == 0 {
		s.ResultBytes = defaultResultBytes
	}
	if s.DrainLimit == 0 {
		s.DrainLimit = defaultDrainLimit
	}
	return s
}
