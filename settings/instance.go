package settings

import (
	"fmt"
	"net/netip"
	"time"
)

// InstanceSettings are the settings that dispatchers and executors share.
type InstanceSettings struct {
	Name string `json:"name" validate:"name"`
	Zone string `json:"zone" validate:"name"`
	// RPCListen is the listen address for RPCs from other processes of the system.
	RPCListen string `json:"rpcListen" validate:"address"`
	// RPCAdvertise is the address that other processes dial; RPCListen by
	// default.
	RPCAdvertise string `json:"rpcAdvertise" validate:"omitempty,address"`
	// StatusListen is the listen address for metrics.
	StatusListen string `json:"statusListen" validate:"listen"`
	// Seeds are addresses of instances that may be entries. Their ports are
	// ignored.
	Seeds []string `json:"seeds" validate:"dive,address"`
	// Table is the address of the platform's table service.
	Table string `json:"table" validate:"address"`
	// Secret is shared by all processes of the system.
	Secret string `json:"secret" validate:"min=16"`
	// StopGrace is the time between the termination signal and the forced kill.
	StopGrace Duration `json:"stopGrace"`
	// Log selects which events are logged: LogAll or LogFailures.
	Log string `json:"log" validate:"oneof=all failures"`
	// SidecarsPerEntry is the minimum number of sidecars that each entry has
	// sessions with, or all sidecars if there are fewer. Jobs with many tasks need
	// many sidecars. All instances must use the same number.
	SidecarsPerEntry int `json:"sidecarsPerEntry" validate:"min=1,max=100000"`
	// RunTimeEstimates makes executors report run times and failures of their minions,
	// and dispatchers place tasks by them.
	RunTimeEstimates bool `json:"runTimeEstimates"`
	// SeparateInterference makes executors measure which kinds of tasks slow each other
	// down, and dispatchers keep them apart.
	SeparateInterference bool `json:"separateInterference"`

	ClientLimits
}

// The values of Log.
const (
	// LogAll logs every decision, up to a rate limit.
	LogAll = "all"
	// LogFailures logs only failures and changes in the process's view of the
	// system.
	LogFailures = "failures"
)

func defaultInstance() InstanceSettings {
	return InstanceSettings{SidecarsPerEntry: 24, Log: LogAll}
}

// completeInstance sets RPCAdvertise to its default and validates the listeners
// and StopGrace. minBodyBytes is the size of the largest body that must fit.
func (s *InstanceSettings) completeInstance(listeners []listener, minBodyBytes int64) error {
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
	return s.check(minBodyBytes)
}

// SeedRPCAddresses returns the RPC addresses of the seeds other than this
// instance. All instances use the same RPC port.
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
	// PartitionWritesPerSecond is the number of transactions per second that the
	// table service accepts for one partition of a table.
	PartitionWritesPerSecond int `json:"partWritesPerSecond" validate:"min=1,max=1000000"`
	// RowBytes is the maximum size of the value of a row in the table service.
	RowBytes int `json:"rowBytes" validate:"min=4096,max=16777216"`
	// ClassScheduling makes the routes of a service share scarce capacity in the order
	// of their priorities. It has no effect on services whose routes all have the same.
	ClassScheduling bool `json:"classScheduling"`
	// MaxJobBytes bounds the memory of the jobs that have not ended; an eighth of the
	// memory by default, within bounds.
	MaxJobBytes int64 `json:"maxJobBytes" validate:"min=0,max=1099511627776"`
}

// Bounds on the memory in bytes of the jobs of a dispatcher.
const (
	// minJobBytes is twice what the largest job takes, of 4096 steps and all that fits into
	// a transaction.
	minJobBytes = 8 << 20
	// maxDefaultJobBytes leaves room below the soft memory limit of the process.
	maxDefaultJobBytes = 32 << 20
	// jobShare is the part of the memory that jobs may use, as a divisor.
	jobShare = 8
)

// JobBytes returns the memory in bytes that the jobs of the dispatcher may take.
func (s *DispatcherSettings) JobBytes() int64 {
	if s.MaxJobBytes != 0 {
		return s.MaxJobBytes
	}
	return min(max(s.machineBytes()/jobShare, minJobBytes), maxDefaultJobBytes)
}

// defaultRowBytes is the row size that the platform documents.
const defaultRowBytes = 64 << 10

// LoadDispatcher reads and validates the settings of a dispatcher. Its errors are
// of type *Error.
func LoadDispatcher(path string) (DispatcherSettings, error) {
	return loadAndComplete(path, DispatcherSettings{InstanceSettings: defaultInstance(), PartitionWritesPerSecond: 100, RowBytes: defaultRowBytes})
}

func (s *DispatcherSettings) complete(string) error {
	if s.MaxJobBytes != 0 && s.MaxJobBytes < minJobBytes {
		return tooSmall("maxJobBytes", s.MaxJobBytes, minJobBytes)
	}
	return s.completeInstance([]listener{
		{"callersListen", s.CallersListen},
		{"readyListen", s.ReadyListen},
		{"rpcListen", s.RPCListen},
		{"statusListen", s.StatusListen},
	}, minCallerBytes)
}

// ExecutorSettings are the start-up settings of an executor.
type ExecutorSettings struct {
	InstanceSettings
	// ReportsListen is the listen address for the minion's reports about itself.
	ReportsListen string `json:"reportsListen" validate:"listen"`
	// Minion is the address at which the minion accepts start and stop requests.
	Minion string `json:"minion" validate:"address"`
}

// LoadExecutor reads and validates the settings of an executor. Its errors are of
// type *Error.
func LoadExecutor(path string) (ExecutorSettings, error) {
	return loadAndComplete(path, ExecutorSettings{InstanceSettings: defaultInstance()})
}

func (s *ExecutorSettings) complete(string) error {
	return s.completeInstance([]listener{
		{"reportsListen", s.ReportsListen},
		{"rpcListen", s.RPCListen},
		{"statusListen", s.StatusListen},
	}, minReportBytes)
}
