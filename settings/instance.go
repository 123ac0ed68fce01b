package settings

import (
	"fmt"
	"net/netip"
	"time"
)

// InstanceSettings are what the dispatcher and the executor share.
type InstanceSettings struct {
	Name string `json:"name" validate:"name"`
	Zone string `json:"zone" validate:"name"`
	// RPCListen is where other processes of the system call.
	RPCListen string `json:"rpcListen" validate:"address"`
	// RPCAdvertise is the address that others dial; RPCListen by default.
	RPCAdvertise string `json:"rpcAdvertise" validate:"omitempty,address"`
	// StatusListen serves metrics.
	StatusListen string `json:"statusListen" validate:"listen"`
	// Seeds are addresses of instances that may be entries; their ports don't
	// matter.
	Seeds []string `json:"seeds" validate:"dive,address"`
	// Table is the address of the platform's table.
	Table string `json:"table" validate:"address"`
	// Secret is shared by all processes of the system.
	Secret string `json:"secret" validate:"min=16"`
	// StopGrace is the time between the signal to end and the end by force.
	StopGrace Duration `json:"stopGrace"`
	// Log says which lines are written: LogAll or LogFailures.
	Log string `json:"log" validate:"oneof=all failures"`
	// SidecarsPerEntry is the number of sidecars that each entry should have
	// sessions with, at least; all, where there are no more. Jobs of many tasks
	// need many. All instances use the same number.
	SidecarsPerEntry int `json:"sidecarsPerEntry" validate:"min=1,max=100000"`
}

// What the log holds.
const (
	// LogAll is a line for each decision, up to a rate.
	LogAll = "all"
	// LogFailures is failures and changes of what the process believes alone.
	LogFailures = "failures"
)

func defaultInstance() InstanceSettings {
	return InstanceSettings{SidecarsPerEntry: 24, Log: LogAll}
}

// completeInstance checks the fields against each other and the listeners.
func (s *InstanceSettings) completeInstance(listeners []listener) error {
	if s.RPCAdvertise == "" {
		s.RPCAdvertise = s.RPCListen
	}
	if err := checkListeners(listeners); err != nil {
		return err
	}
	const minStopGrace = time.Second
	if s.StopGrace.Std() < minStopGrace {
		return &Error{Field: "stopGrace", Reason: fmt.Sprintf("want at least %s", minStopGrace)}
	}
	return nil
}

// SeedRPCAddresses returns the RPC addresses of the seeds: all instances use the
// same port.
func (s *InstanceSettings) SeedRPCAddresses() []string {
	own, err := netip.ParseAddrPort(s.RPCListen)
	if err != nil {
		return nil
	}
	var entries []string
	for _, seed := range s.Seeds {
		parsed, err := netip.ParseAddrPort(seed)
		if err != nil || parsed.Addr() == own.Addr() {
			continue
		}
		entries = append(entries, netip.AddrPortFrom(parsed.Addr(), own.Port()).String())
	}
	return entries
}

// DispatcherSettings are the start-up settings of a dispatcher.
type DispatcherSettings struct {
	InstanceSettings
	CallersListen string `json:"callersListen" validate:"listen"`
	ReadyListen   string `json:"readyListen" validate:"listen"`
	// PartitionWritesPerSecond is the number of transactions a second that the table takes for
	// one part of a table.
	PartitionWritesPerSecond int `json:"partWritesPerSecond" validate:"min=1,max=1000000"`
}

// LoadDispatcher reads and checks the settings of a dispatcher. Its errors are
// of type *Error.
func LoadDispatcher(path string) (DispatcherSettings, error) {
	return loadAndComplete(path, DispatcherSettings{InstanceSettings: defaultInstance(), PartitionWritesPerSecond: 100})
}

func (s *DispatcherSettings) complete(string) error {
	return s.completeInstance([]listener{
		{"callersListen", s.CallersListen},
		{"readyListen", s.ReadyListen},
		{"rpcListen", s.RPCListen},
		{"statusListen", s.StatusListen},
	})
}

// ExecutorSettings are the start-up settings of an executor.
type ExecutorSettings struct {
	InstanceSettings
	// ReportsListen is where the minion reports about itself.
	ReportsListen string `json:"reportsListen" validate:"listen"`
	// Minion is where the minion takes orders.
	Minion string `json:"minion" validate:"address"`
}

// LoadExecutor reads and checks the settings of an executor. Its errors are of
// type *Error.
func LoadExecutor(path string) (ExecutorSettings, error) {
	return loadAndComplete(path, ExecutorSettings{InstanceSettings: defaultInstance()})
}

func (s *ExecutorSettings) complete(string) error {
	return s.completeInstance([]listener{
		{"reportsListen", s.ReportsListen},
		{"rpcListen", s.RPCListen},
		{"statusListen", s.StatusListen},
	})
}
