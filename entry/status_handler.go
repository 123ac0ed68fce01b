package entry

import (
	"context"
	"encoding/json"
	"net/http"
)

// statusHandler serves liveness, readiness, metrics and the entry's status.
func (e *Entry) statusHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", e.livez)
	mux.HandleFunc("GET /readyz", e.readyz)
	mux.HandleFunc("GET /status", e.statusz)
	mux.Handle("GET /metrics", e.options.Metrics.Handler)
	return mux
}

// livez reports live while the owner's event loop processes events.
func (e *Entry) livez(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), lookupTimeout)
	defer cancel()
	if _, ok := e.current().owner.requestStatus(ctx); !ok {
		http.Error(w, "owner does not answer", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("live\n"))
}

// readyz reports whether the load balancer should send callers to this entry. A
// drain turns readiness off before anything else.
func (e *Entry) readyz(w http.ResponseWriter, _ *http.Request) {
	if !e.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (e *Entry) statusz(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(e.Status(r.Context()))
}
