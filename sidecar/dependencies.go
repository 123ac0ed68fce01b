package sidecar

import (
	"crypto/tls"
	"net/http"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/figring/figring/store"
	"github.com/figring/figring/wire"
)

// Dependencies are the components that a sidecar uses. The fields that may be nil
// say so.
type Dependencies struct {
	Table         store.Table
	Announcements store.Announcements
	// Announce handles the requests at Settings.AnnounceListen. Nil disables the
	// listener.
	Announce http.Handler
	// Metrics handles /metrics. Nil disables the endpoint.
	Metrics http.Handler
	// Scope receives the metrics. Nil discards them.
	Scope tally.Scope
	// Logger receives state changes and warnings. Nil means log.DefaultLogger.
	Logger *log.Logger
	// RPCServerTLS and RPCClientTLS encrypt the calls between entries and
	// sidecars. Nil means plain TCP.
	RPCServerTLS *tls.Config
	RPCClientTLS *tls.Config
	// Dialer opens connections to entries. Nil means a net.Dialer.
	Dialer wire.Dialer
}
