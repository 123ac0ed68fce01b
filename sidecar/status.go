package sidecar

import (
	"fmt"
	"net/http"

	"github.com/figring/figring/wire"
)

// statusHandler serves the status endpoints. A sidecar is ready while it accepts new
// tasks, and alive as long as its event loop replies.
func (s *Sidecar) statusHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) {
		s.writeStatus(w, func(status) bool { return true })
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		s.writeStatus(w, func(current status) bool { return current.state == wire.TargetReady })
	})
	if s.deps.Metrics != nil {
		mux.Handle("GET /metrics", s.deps.Metrics)
	}
	return mux
}

func (s *Sidecar) writeStatus(w http.ResponseWriter, healthy func(status) bool) {
	current, err := s.status()
	if err != nil || !healthy(current) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = fmt.Fprintf(w, "%s running=%d queued=%d\n", current.state, current.running, current.queued)
}

func (s *Sidecar) status() (status, error) {
	replyTo := make(chan status, 1)
	return ask(s.mailbox, statusMessage{replyTo: replyTo}, replyTo)
}
