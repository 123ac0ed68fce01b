package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/figring/figring/platform/standin"
)

// watcher stands between a sidecar and its minion and follows the lease and the ends of the
// minion as the sidecar's calls show them.
type watcher struct {
	name   string
	record *record
	minion http.Handler

	mu sync.Mutex
	// lease is when the lease ends, and lapsed when it last lapsed.
	lease, lapsed time.Time
	ends          map[int64]*listedEnd
}

// listedEnd is an end that a minion has listed.
type listedEnd struct {
	number        int64
	task, how     string
	run           int64
	listed, noted time.Time
	// lapsed means that the lease lapsed between the listing and the note.
	lapsed bool
}

func newWatcher(name string, record *record, minion http.Handler) *watcher {
	return &watcher{name: name, record: record, minion: minion, ends: make(map[int64]*listedEnd)}
}

func (w *watcher) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var order map[string]any
	_ = json.Unmarshal(raw, &order)
	w.before(order)
	r.Body = io.NopCloser(bytes.NewReader(raw))
	answer := httptest.NewRecorder()
	w.minion.ServeHTTP(answer, r)
	w.after(r.URL.Path, order, answer)
	for key, values := range answer.Header() {
		rw.Header()[key] = values
	}
	rw.WriteHeader(answer.Code)
	_, _ = rw.Write(answer.Body.Bytes())
}

// before notes the ends that a call acknowledges.
func (w *watcher) before(order map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkLease()
	upTo, _ := order["acked_upto"].(float64)
	for _, end := range w.ends {
		if end.noted.IsZero() && end.number <= int64(upTo) {
			end.noted = time.Now()
			w.record.write("minion of %s: end %d of %s run %d (%s) is taken note of; lease lapsed since: %t", w.name, end.number, end.task, end.run, end.how, end.lapsed)
		}
	}
}

// checkLease records a lapse of the lease.
func (w *watcher) checkLease() {
	if w.lease.IsZero() || time.Now().Before(w.lease) || w.lapsed.Equal(w.lease) {
		return
	}
	w.lapsed = w.lease
	for _, end := range w.ends {
		if end.noted.IsZero() && end.listed.Before(w.lapsed) {
			end.lapsed = true
		}
	}
}

func (w *watcher) after(path string, order map[string]any, answer *httptest.ResponseRecorder) {
	var told struct {
		Clock    float64 `json:"clock_ms"`
		Reason   string  `json:"reason"`
		Finished [][]any `json:"finished"`
	}
	_ = json.Unmarshal(answer.Body.Bytes(), &told)
	w.mu.Lock()
	defer w.mu.Unlock()
	if until, ok := order["deadline_ms"].(float64); ok && told.Reason != "fence" {
		left := min(time.Duration(until-told.Clock)*time.Millisecond, standin.MaxLease)
		if end := time.Now().Add(left); end.After(w.lease) {
			w.lease = end
		}
	}
	if path != "/-/hold" {
		w.record.write("minion of %s: %s %v run %v: %d %s", w.name, strings.TrimPrefix(path, "/-/"), order["task"], order["run"], answer.Code, told.Reason)
	}
	for _, row := range told.Finished {
		number := int64(row[0].(float64))
		if _, known := w.ends[number]; !known {
			w.ends[number] = &listedEnd{number: number, task: row[1].(string), run: int64(row[2].(float64)), how: row[3].(string), listed: time.Now()}
			w.record.write("minion of %s: end %d of %v run %v listed: %v", w.name, number, row[1], row[2], row[3])
		}
	}
}

// notedDone returns the ends done that were taken note of while the lease held.
func (w *watcher) notedDone() []listedEnd {
	w.mu.Lock()
	defer w.mu.Unlock()
	var noted []listedEnd
	for _, end := range w.ends {
		if end.how == "done" && !end.noted.IsZero() && !end.lapsed {
			noted = append(noted, *end)
		}
	}
	return noted
}
