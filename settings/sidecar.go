package settings

import (
	"time"
)

// SidecarSettings are the start-up settings of a sidecar.
type SidecarSettings struct {
	Name   string `json:"name" validate:"name"`
	Zone   string `json:"zone" validate:"name"`
	Rack   string `json:"rack" validate:"name"`
	Worker string `json:"worker" validate:"name"`

	RPCListen string `json:"rpcListen" validate:"listen"`
	// RPCAdvertise is the address that other processes dial; RPCListen by
	// default.
	RPCAdvertise string `json:"rpcAdvertise" validate:"omitempty,address"`
	// AnnounceListen is the listen address for the minion's announcements.
	AnnounceListen string `json:"announceListen" validate:"listen"`
	StatusListen   string `json:"statusListen" validate:"listen"`

	PlatformURL string `json:"platformURL" validate:"url"`
	// Secret is shared by all processes. Loading sets it from SecretFile if that
	// is given instead.
	Secret     string     `json:"secret"`
	SecretFile string     `json:"secretFile"`
	TLS        SidecarTLS `json:"tls"`

	// QueueCapacity is the maximum number of tasks that wait for a slot of the
	// minion.
	QueueCapacity int `json:"queueCapacity" validate:"min=0,max=65536"`
	// RecordLimit is the maximum number of records of started tasks.
	RecordLimit int `json:"recordLimit" validate:"min=1000,max=100000000"`
	// ResultBytes limits the memory for results that are kept in case they are
	// requested again.
	ResultBytes int64 `json:"resultBytes" validate:"min=0,max=1099511627776"`
	// EntriesPerSidecar is the number of entries that the sidecar connects to.
	EntriesPerSidecar int `json:"entriesPerSidecar" validate:"min=1,max=1000"`

	LogLevel string `json:"logLevel" validate:"oneof=debug info warn error"`
	// ShutdownTimeout limits the duration of the drain on a planned shutdown.
	ShutdownTimeout Duration `json:"shutdownTimeout"`
}

// DefaultSidecar returns the default settings of a sidecar.
func DefaultSidecar() SidecarSettings {
	return SidecarSettings{
		QueueCapacity:     8,
		RecordLimit:       100_000,
		ResultBytes:       8 << 20,
		EntriesPerSidecar: 3,
		LogLevel:          "info",
		ShutdownTimeout:   Duration(6 * time.Minute),
	}
}

// LoadSidecar reads and validates the settings of a sidecar. Its errors are of
// type *Error.
func LoadSidecar(path string) (SidecarSettings, error) {
	return loadAndComplete(path, DefaultSidecar())
}

// complete validates the fields against each other and resolves the files.
func (s *SidecarSettings) complete(dir string) error {
	common := processSettings{
		listeners: s.listeners(), rpcListen: s.RPCListen, rpcAdvertise: &s.RPCAdvertise,
		shutdownTimeout: s.ShutdownTimeout, secret: &s.Secret, secretFile: s.SecretFile,
	}
	if err := common.complete(dir); err != nil {
		return err
	}
	return s.TLS.resolve(dir)
}

func (s *SidecarSettings) listeners() []listener {
	return []listener{
		{"rpcListen", s.RPCListen},
		{"announceListen", s.AnnounceListen},
		{"statusListen", s.StatusListen},
	}
}
