package demo

import (
	"net/http"

	"github.com/figring/figring/entry"
	"github.com/figring/figring/model"
	"github.com/figring/figring/store/fault"
	"github.com/phuslu/log"
)

// The sizes of a system that names none.
const (
	defaultEntries = 2
	defaultMinions = 6
	defaultSlots   = 8
)

// Options configures a System.
type Options struct {
	// Zones lists the availability zones; entries and workers are spread over
	// them in turn.
	Zones   []string
	Region  string
	Entries int
	Minions int
	// Slots is the number of tasks that each minion runs at once.
	Slots int
	// Callers may submit work from the start.
	Callers []model.Caller
	// Operators builds the operators' interface of an entry; nil means none.
	Operators func(*entry.Entry) (http.Handler, error)
	// Faults are the latencies and faults of the platform.
	Faults fault.Settings
	// MaxBodyBytes bounds a caller's body; zero means the default.
	MaxBodyBytes int64
	Log          *log.Logger
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
