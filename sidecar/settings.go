package sidecar

import (
	"time"
)

// The defaults of settings that are zero.
const (
	defaultRecordLimit = 100_000
	defaultResultBytes = 8 << 20
	defaultDrainLimit  = 60 * time.Second
)

// Settings are what one sidecar is configured with. They don't change while it
// runs.
type Settings struct {
	Name   string `json:"name" validate:"required,max=128"`
	Zone   string `json:"zone" validate:"required,max=64"`
	Rack   string `json:"rack" validate:"max=64"`
	Worker string `json:"worker" validate:"required,max=128"`
	// RPCListen is the "ip:port" for calls of entries; port 0 picks one.
	RPCListen string `json:"rpcListen" validate:"required,hostname_port"`
	// RPCAdvertise is the address that entries dial; empty means the address
	// that is listened at.
	RPCAdvertise string `json:"rpcAdvertise" validate:"omitempty,hostname_port"`
	// AnnounceListen is where the minion announces itself.
	AnnounceListen string `json:"announceListen" validate:"omitempty,hostname_port"`
	// StatusListen serves /livez, /readyz and /metrics; empty serves none.
	StatusListen string `json:"statusListen" validate:"omitempty,hostname_port"`
	PlatformURL  string `json:"platformURL" validate:"omitempty,url"`
	Secret       string `json:"secret" validate:"required"`
	// QueueCapacity bounds the tasks that wait; zero means the number of slots.
	QueueCapacity int `json:"queueCapacity" validate:"min=0,max=4096"`
	// RecordLimit bounds the records of started tasks; zero means 100,000.
	RecordLimit int `json:"recordLimit" validate:"min=0"`
	// ResultBytes bounds the bodies of kept results; zero means 8 MiB.
	ResultBytes int `json:"resultBytes" validate:"min=0"`
	// DrainLimit bounds the wait for running tasks at a stop; zero means 60 s.
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
