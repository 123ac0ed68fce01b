package sidecar

import (
	"crypto/tls"
	"net/http"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/figring/figring/store"
	"github.com/figring/figring/wire"
)

// Dependencies are what a sidecar is built on.
type Dependencies struct {
	Table         store.Table
	Announcements store.Announcements
	// Announce is served at Settings.AnnounceListen; nil serves nothing.
	Announce http.Handler
	// Metrics is served at /metrics; nil serves nothing.
	Metrics http.Handler
	// Scope takes the metrics; nil drops them.
	Scope tally.Scope
	// Logger takes changes of state; nil means log.DefaultLogger.
	Logger *log.Logger
	// RPCServerTLS and RPCClientTLS secure the calls between entries and
	// sidecars; nil means plain TCP.
	RPCServerTLS *tls.Config
	RPCClientTLS *tls.Config
	// Dialer opens connections to entries; nil means the network itself.
	Dialer wire.Dialer
}
