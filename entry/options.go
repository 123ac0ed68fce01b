package entry

import (
	"crypto/tls"
	"net/http"
	"time"

	"github.com/phuslu/log"

	"github.com/figring/figring/claims"
	"github.com/figring/figring/common/metrics"
	"github.com/figring/figring/store"
	"github.com/figring/figring/wire"
)

const (
	// claimWritesPerSecond bounds the claim writes to the table by all entries
	// of the system together.
	claimWritesPerSecond = 400
	// defaultReadyDelay is how long a drain reports not ready before the entry
	// stops accepting jobs.
	defaultReadyDelay = 500 * time.Millisecond
	// defaultShutdownTimeout bounds a planned stop.
	defaultShutdownTimeout = 6 * time.Minute
)

// Options configures an entry.
type Options struct {
	Name   string
	Zone   string
	Region string
	// RPCListen, CallersListen, OperatorsListen and StatusListen are "ip:port";
	// port 0 selects a free one. RPCAdvertise is the address that other
	// processes dial; it defaults to that of the RPC listener.
	RPCListen       string
	RPCAdvertise    string
	CallersListen   string
	OperatorsListen string
	StatusListen    string
	// Secret is shared by all processes of the system.
	Secret string
	Table  store.Table
	// Objects stores the answers of jobs, so that they outlive the entry.
	Objects store.Objects
	// ClaimMode and Routing can select baselines to compare the defaults with.
	ClaimMode claims.Mode
	Routing   string
	// RPCServerTLS, RPCClientTLS, CallersTLS and OperatorsTLS may be nil: those
	// connections then go without TLS.
	RPCServerTLS *tls.Config
	RPCClientTLS *tls.Config
	CallersTLS   *tls.Config
	OperatorsTLS *tls.Config
	// Operators builds the handler of the operators' interface; nil means none.
	Operators func(*Entry) (http.Handler, error)
	// Dialer opens connections to other processes; nil means over the network.
	Dialer          wire.Dialer
	ReadyDelay      time.Duration
	ShutdownTimeout time.Duration
	MaxBodyBytes    int64
	Metrics         *metrics.Root
	Log             *log.Logger
}

func (o Options) withDefaults() Options {
	if o.ReadyDelay == 0 {
		o.ReadyDelay = defaultReadyDelay
	}
	if o.ShutdownTimeout == 0 {
		o.ShutdownTimeout = defaultShutdownTimeout
	}
	if o.ClaimMode == "" {
		o.ClaimMode = claims.Grouped
	}
	return o
}
