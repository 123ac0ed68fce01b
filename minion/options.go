package minion

import (
	"runtime"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/phuslu/log"
	"github.com/zeebo/errs"
)

// ErrOptions reports options that no minion can run with.
var ErrOptions = errs.Class("minion options")

// DefaultRun is the run time of a task that does not tell its own.
const DefaultRun = 20 * time.Millisecond

// Options configures a minion for its whole life.
type Options struct {
	Name   string `validate:"required,max=128"`
	Worker string `validate:"required,max=128"`
	Zone   string `validate:"max=128"`
	// Slots is the number of tasks run at once.
	Slots int `validate:"min=1,max=4096"`
	// Connections is the number of connections open at once.
	Connections int `validate:"min=1,max=65536"`
	// Run is the run time of a task that does not tell its own.
	Run time.Duration `validate:"min=0"`
	// AnnounceURL is the sidecar's base, such as "http://127.0.0.1:7200". Empty
	// means that the minion does not announce itself.
	AnnounceURL string `validate:"omitempty,http_url"`
	// LedgerFile is appended to at each start and each end. Empty means none.
	LedgerFile  string
	Cores       int   `validate:"min=0"`
	MemoryBytes int64 `validate:"min=0"`
	// Control holds the settings at the start. A speed of zero stands for 1.
	Control Control
	// Logger logs changes of state; nil means none.
	Logger *log.Logger `validate:"-"`
}

func (o Options) completed() (Options, error) {
	if o.Run == 0 {
		o.Run = DefaultRun
	}
	if o.Cores == 0 {
		o.Cores = runtime.NumCPU()
	}
	if o.Control.Speed == 0 {
		o.Control.Speed = 1
	}
	if o.Logger == nil {
		o.Logger = &log.Logger{Level: log.PanicLevel}
	}
	validate := validator.New(validator.WithRequiredStructEnabled())
	return o, ErrOptions.Wrap(validate.Struct(o))
}
