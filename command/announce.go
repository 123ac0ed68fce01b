package command

import (
	"net/http"

	"github.com/figring/figring/platform"
)

// announceReceiver takes the announcements of a minion over HTTP.
type announceReceiver interface {
	platform.Announcements
	http.Handler
}
