package minion

import (
	"runtime"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/phuslu/log"
	"github.com/zeebo/errs"
)

// ErrOptions is the class of errors for invalid options.
var ErrOptions = errs.Class("minion options")

// DefaultRun is the default of Options.Run.
const DefaultRun = 20 * time.Millisecond

// Options is the configuration of a minion. It does not change after New.
type Options struct {
	Name   string `validate:"required,max=128"`
	Worker string `validate:"required,max=128"`
	Zone   string `validate:"max=128"`
	// Slots is the maximum number of concurrent tasks.
	Slots int `validate:"min=1,max=4096"`
	// Connections is the maximum number of open connections.
	Connections int `validate:"min=1,max=65536"`
	// Run is the run time of tasks whose payload sets none. Zero means
	// DefaultRun.
	Run time.Duration `validate:"min=0"`
	// AnnounceURL is the sidecar's base URL, such as "http://127.0.0.1:7200". If
	// empty, the minion sends no announcements.
	AnnounceURL string `validate:"omitempty,http_url"`
	// LedgerFile is the path of a file to which a line is appended at each start
	// and end of a task. If empty, no file is written.
	LedgerFile string
	// Cores is the number of CPU cores announced. Zero means runtime.NumCPU.
	Cores       int   `validate:"min=0"`
	MemoryBytes int64 `validate:"min=0"`
	// Control holds the initial settings. A speed of zero means 1.
	Control Control
	// Logger receives the log messages. If nil, nothing is logged.
	Logger *log.Logger `validate:"-"`
}

// withDefaults returns the options with defaults filled in, or an error if they are
// invalid.
func (o Options) withDefaults() (Options, error) {
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
