package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxLease is hold_max_ms of the pages.
const maxLease = time.Second

// watch records what passes between a sidecar and one life of its minion: the leases and
// the ends that were taken note of.
type watch struct {
	mu     sync.Mutex
	leases []lease
	// sequences are the numbers of the listed ends, by task and run.
	sequences map[string]uint64
	acks      []ack
}

type lease struct{ from, until time.Time }

type ack struct {
	at   time.Time
	upTo uint64
}

func newWatch() *watch { return &watch{sequences: make(map[string]uint64)} }

// recorded keeps what a handler answers.
type recorded struct {
	http.ResponseWriter
	body   bytes.Buffer
	status int
}

func (r *recorded) WriteHeader(status int) { r.status = status; r.ResponseWriter.WriteHeader(status) }
func (r *recorded) Write(raw []byte) (int, error) {
	r.body.Write(raw)
	return r.ResponseWriter.Write(raw)
}

// wrap returns a handler that records what passes to and from the minion, which was started
// then.
func (w *watch) wrap(next http.Handler, started time.Time) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		raw, _ := io.ReadAll(request.Body)
		request.Body = io.NopCloser(bytes.NewReader(raw))
		var asked struct {
			Lease int64  `json:"deadline_ms"`
			Acked uint64 `json:"acked_upto"`
		}
		_ = json.Unmarshal(raw, &asked)
		now := time.Now()
		out := &recorded{ResponseWriter: writer, status: 200}
		next.ServeHTTP(out, request)
		if out.status != http.StatusOK {
			return
		}
		var answered struct {
			Finished [][]any `json:"finished"`
		}
		_ = json.Unmarshal(out.body.Bytes(), &answered)
		w.mu.Lock()
		defer w.mu.Unlock()
		if asked.Lease > 0 {
			until := started.Add(time.Duration(asked.Lease) * time.Millisecond)
			if limit := now.Add(maxLease); until.After(limit) {
				until = limit
			}
			w.leases = append(w.leases, lease{now, until})
		}
		if strings.HasSuffix(request.URL.Path, "hold") {
			w.acks = append(w.acks, ack{now, asked.Acked})
		}
		for _, row := range answered.Finished {
			if len(row) > 2 {
				w.sequences[key(row[1].(string), int(row[2].(float64)))] = uint64(row[0].(float64))
			}
		}
	})
}

func key(task string, run int) string { return task + "#" + strconv.Itoa(run) }

// notedAt returns when the end of a run was taken note of, and whether it was: not if the
// lease lapsed between the end and that.
func (w *watch) notedAt(task string, run int, ended time.Time) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	sequence, ok := w.sequences[key(task, run)]
	if !ok {
		return time.Time{}, false
	}
	for _, one := range w.acks {
		if one.upTo >= sequence {
			return one.at, !w.lapsedBetween(ended, one.at)
		}
	}
	return time.Time{}, false
}

func (w *watch) lapsedBetween(from, to time.Time) bool {
	covered := from
	for _, one := range w.leases {
		if one.from.After(covered) && covered.Before(to) {
			return true
		}
		if one.until.After(covered) {
			covered = one.until
		}
	}
	return covered.Before(to)
}
