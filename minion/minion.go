package minion

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-playground/validator/v10"
)

// Minion is the HTTP handler of a simulated minion.
type Minion struct {
	options     Options
	incarnation int64
	ledger      *ledger
	slots       *slots
	validate    *validator.Validate
	mux         *http.ServeMux

	started, succeeded, failed, stopped atomic.Int64
	slotOverruns, late, refusedLeaving  atomic.Int64
	connectionOverruns, peakConnections atomic.Int64

	mu      sync.Mutex
	control Control
}

var _ http.Handler = (*Minion)(nil)

// New returns a minion with the given options. The caller must call either Serve,
// which closes the minion, or Close.
func New(options Options) (*Minion, error) {
	options, err := options.withDefaults()
	if err != nil {
		return nil, err
	}
	ledger, err := openLedger(options.LedgerFile)
	if err != nil {
		return nil, err
	}
	m := &Minion{
		options:     options,
		incarnation: time.Now().UnixNano(),
		ledger:      ledger,
		slots:       newSlots(options.Slots),
		validate:    validator.New(validator.WithRequiredStructEnabled()),
		mux:         http.NewServeMux(),
		control:     options.Control,
	}
	m.mux.HandleFunc("POST /run", m.run)
	m.mux.HandleFunc("POST /stop", m.stop)
	m.mux.HandleFunc("GET /ledger", m.getLedger)
	m.mux.HandleFunc("GET /counters", m.getCounters)
	m.mux.HandleFunc("GET /control", m.getControl)
	m.mux.HandleFunc("PUT /control", m.putControl)
	return m, nil
}

// ServeHTTP implements http.Handler.
func (m *Minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.mux.ServeHTTP(w, r)
}

// Close closes the ledger file.
func (m *Minion) Close() error {
	return m.ledger.close()
}

// SetControl replaces the current settings.
func (m *Minion) SetControl(control Control) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.control = control
}

// Control returns the current settings.
func (m *Minion) Control() Control {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.control
}

// Ledger returns every task start so far, ordered by ID.
func (m *Minion) Ledger() []Start {
	return m.ledger.since(0)
}

// Counts returns a snapshot of the counters.
func (m *Minion) Counts() Counts {
	running, peak := m.slots.counts()
	return Counts{
		Started:            m.started.Load(),
		Succeeded:          m.succeeded.Load(),
		Failed:             m.failed.Load(),
		Stopped:            m.stopped.Load(),
		Running:            running,
		PeakRunning:        peak,
		SlotOverruns:       m.slotOverruns.Load(),
		Late:               m.late.Load(),
		RefusedLeaving:     m.refusedLeaving.Load(),
		ConnectionOverruns: m.connectionOverruns.Load(),
		PeakConnections:    m.peakConnections.Load(),
	}
}
