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
	// claimWritesPerSecond is the part of the table's writes that claims may
	// use in the whole system.
	claimWritesPerSecond = 400
	// defaultReadyDelay is how long readiness is false before the intake stops.
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
	// the port 0 takes a free one. RPCAdvertise is what other processes dial; it
	// defaults to the address listened on.
	RPCListen       string
	RPCAdvertise    string
	CallersListen   string
	OperatorsListen string
	StatusListen    string
	// Secret is shared by all processes of the system.
	Secret string
	Table  store.Table
	// Objects keeps the answers of jobs beyond the entry's life.
	Objects store.Objects
	// ClaimMode and Routing choose baselines to measure against.
	ClaimMode claims.Mode
	Routing   string
	// RPCServerTLS and RPCClientTLS, CallersTLS and OperatorsTLS may be nil.
	RPCServerTLS *tls.Config
	RPCClientTLS *tls.Config
	CallersTLS   *tls.Config
	OperatorsTLS *tls.Config
	// Operators builds the operators' interface on top of the entry.
	Operators func(*Entry) (http.Handler, error)
	// Dialer is used for calls to other processes; nil means the network.
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
