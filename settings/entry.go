package settings

import (
	"slices"
	"time"
)

// The values of ClaimMode: how an entry writes job claims to the table.
const (
	// ClaimsGrouped writes the claims of many jobs in one transaction.
	ClaimsGrouped = "grouped"
	// ClaimsByRow writes a row of its own for each job.
	ClaimsByRow = "row"
)

// The values of Routing: how an entry chooses a sidecar for a task.
const (
	RoutingExpected         = "expected"
	RoutingRandom           = "random"
	RoutingRoundRobin       = "round_robin"
	RoutingLeastOutstanding = "least_outstanding"
)

// EntrySettings are the start-up settings of an entry.
type EntrySettings struct {
	Name   string `json:"name" validate:"name"`
	Zone   string `json:"zone" validate:"name"`
	Region string `json:"region" validate:"name"`
	// Zones lists every availability zone that exists.
	Zones []string `json:"zones" validate:"min=1,max=64,unique,dive,name"`

	CallersListen   string `json:"callersListen" validate:"listen"`
	OperatorsListen string `json:"operatorsListen" validate:"listen"`
	RPCListen       string `json:"rpcListen" validate:"listen"`
	// RPCAdvertise is the address that other processes dial; RPCListen by
	// default.
	RPCAdvertise string `json:"rpcAdvertise" validate:"omitempty,address"`
	StatusListen string `json:"statusListen" validate:"listen"`

	PlatformURL string `json:"platformURL" validate:"url"`
	// Secret is shared by all processes. Loading sets it from SecretFile if that
	// is given instead.
	Secret     string     `json:"secret"`
	SecretFile string     `json:"secretFile"`
	TLS        EntryTLS   `json:"tls"`
	Operators  []Operator `json:"operators" validate:"max=1000,unique=Name,unique=TokenHash,dive"`

	ClaimMode string `json:"claimMode" validate:"oneof=grouped row"`
	Routing   string `json:"routing" validate:"oneof=expected random round_robin least_outstanding"`
	LogLevel  string `json:"logLevel" validate:"oneof=debug info warn error"`
	// ShutdownTimeout limits the duration of the drain on a planned shutdown.
	ShutdownTimeout Duration `json:"shutdownTimeout"`
	// ReadyDelay is the time between reporting not ready and closing the
	// listeners, in which the load balancer stops sending requests to the entry.
	ReadyDelay Duration `json:"readyDelay"`
	// MaxBodyBytes limits the body of a caller's request.
	MaxBodyBytes int64 `json:"maxBodyBytes" validate:"min=1024,max=1073741824"`
}

// DefaultEntry returns the default settings of an entry.
func DefaultEntry() EntrySettings {
	return EntrySettings{
		ClaimMode:       ClaimsGrouped,
		Routing:         RoutingExpected,
		LogLevel:        "info",
		ShutdownTimeout: Duration(6 * time.Minute),
		ReadyDelay:      Duration(2 * time.Second),
		MaxBodyBytes:    16 << 20,
	}
}

// LoadEntry reads and validates the settings of an entry. Its errors are of type
// *Error.
func LoadEntry(path string) (EntrySettings, error) {
	return loadAndComplete(path, DefaultEntry())
}

// complete validates the fields against each other and resolves the files.
func (s *EntrySettings) complete(dir string) error {
	if !slices.Contains(s.Zones, s.Zone) {
		return &Error{Field: "zone", Reason: "must be one of zones"}
	}
	common := processSettings{
		listeners: s.listeners(), rpcListen: s.RPCListen, rpcAdvertise: &s.RPCAdvertise,
		shutdownTimeout: s.ShutdownTimeout, secret: &s.Secret, secretFile: s.SecretFile,
	}
	if err := common.complete(dir); err != nil {
		return err
	}
	if s.ReadyDelay < 0 || s.ReadyDelay >= s.ShutdownTimeout {
		return &Error{Field: "readyDelay", Reason: "want at least 0s and less than shutdownTimeout"}
	}
	return s.TLS.resolve(dir)
}

func (s *EntrySettings) listeners() []listener {
	return []listener{
		{"callersListen", s.CallersListen},
		{"operatorsListen", s.OperatorsListen},
		{"rpcListen", s.RPCListen},
		{"statusListen", s.StatusListen},
	}
}
