package demo

import (
	"net/http"

	"github.com/figring/figring/entry"
	"github.com/figring/figring/model"
	"github.com/figring/figring/store/fault"
	"github.com/phuslu/log"
)

// Defaults for the size options that are zero.
const (
	defaultEntries = 2
	defaultMinions = 6
	defaultSlots   = 8
)

// Options configures a System.
type Options struct {
	// Zones lists the availability zones. Entries and workers are assigned to
	// them round-robin. At least one is required.
	Zones   []string
	Region  string
	Entries int
	Minions int
	// Slots is the number of tasks that each minion runs concurrently.
	Slots int
	// Callers are the client accounts in the first bundle. They may submit jobs as
	// soon as Start returns.
	Callers []model.Caller
	// Operators builds the handler of an entry's API for operators; nil disables
	// that API.
	Operators func(*entry.Entry) (http.Handler, error)
	// Faults are the initial latencies and faults injected into the table and the
	// object store.
	Faults fault.Settings
	// MaxBodyBytes limits the size of a caller's request body; zero means
	// api.MaxBodyBytes.
	MaxBodyBytes int64
	// Log receives the log of all processes; nil discards all but panics.
	Log *log.Logger
}

func (o Options) withDefaults() Options {
	if o.Entries == 0 {
		o.Entries = defaultEntries
	}
	if o.Minions == 0 {
		o.Minions = defaultMinions
	}
	if o.Slots == 0 {
		o.Slots = defaultSlots
	}
	if o.Log == nil {
		o.Log = &log.Logger{Level: log.PanicLevel}
	}
	return o
}
