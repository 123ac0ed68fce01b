package sidecar

import (
	"fmt"
	"net/http"

	"github.com/figring/figring/wire"
)

// statusHandler serves the status pages. A sidecar is ready when it takes new
// work; it is alive as long as the owner of its state answers.
func (s *Sidecar) statusHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) {
		s.writeStatus(w, func(status) bool { return true })
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		s.writeStatus(w, func(now status) bool { return now.state == wire.TargetReady })
	})
	if s.deps.Metrics != nil {
		mux.Handle("GET /metrics", s.deps.Metrics)
	}
	return mux
}

func (s *Sidecar) writeStatus(w http.ResponseWriter, good func(status) bool) {
	now, err := s.status()
	if err != nil || !good(now) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = fmt.Fprintf(w, "%s running=%d queued=%d\n", now.state, now.running, now.queued)
}

func (s *Sidecar) status() (status, error) {
	answer := make(chan status, 1)
	return ask(s.box, statusMessage{answer: answer}, answer)
}
