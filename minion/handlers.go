package minion

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// maxControlBody is the maximum size in bytes of the body of POST /stop and
// PUT /control.
const maxControlBody = 64 << 10

// stopRequest is the body of POST /stop.
type stopRequest struct {
	Job  string `json:"job"`
	Task int    `json:"task"`
}

// stopReply is the response body of POST /stop.
type stopReply struct {
	Stopped int `json:"stopped"`
}

func (m *Minion) stop(w http.ResponseWriter, r *http.Request) {
	var req stopRequest
	if !decode(w, r, &req) {
		return
	}
	writeJSON(w, stopReply{Stopped: m.slots.stop(req.Job, req.Task)})
}

func (m *Minion) getLedger(w http.ResponseWriter, r *http.Request) {
	var since int64
	if text := r.URL.Query().Get("since"); text != "" {
		parsed, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		since = parsed
	}
	w.Header().Set("Content-Type", "application/jsonl")
	encoder := json.NewEncoder(w)
	for _, start := range m.ledger.since(since) {
		if encoder.Encode(start) != nil {
			return
		}
	}
}

func (m *Minion) getCounters(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, m.Counts())
}

func (m *Minion) getControl(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, m.Control())
}

func (m *Minion) putControl(w http.ResponseWriter, r *http.Request) {
	control := m.options.Control
	if !decode(w, r, &control) {
		return
	}
	if err := m.validate.Struct(control); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	m.SetControl(control)
	writeJSON(w, control)
}

// decode decodes the JSON body of r into value. If the body is invalid, it
// responds with status 400 and returns false.
func decode(w http.ResponseWriter, r *http.Request, value any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, reply any) {
	w.Header().Set("Content-Type", "application/json")
	// The error is ignored because the client notices an incomplete response.
	_ = json.NewEncoder(w).Encode(reply)
}
