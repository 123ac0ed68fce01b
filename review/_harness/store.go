package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The figures of the platform's store in the settings of the small deployments.
const (
	storeAnswer      = 4 * time.Millisecond
	storeTransaction = 8 * time.Millisecond
	partWritesPerSec = 150
	maxEntries       = 100
	maxCallBytes     = 1 << 20
	maxRowBytes      = 65536
	maxPageRows      = 500
	maxPartWait      = time.Second
)

// storeRow is a row of the store.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// partKey identifies a part of a table.
type partKey struct{ table, part string }

func (r storeRow) partKey() partKey { return partKey{r.Table, r.Part} }

// store is a stand-in for the platform's store: rows, conditional transactions and the
// feed, with the limits and times of PROTOCOL.md.
type store struct {
	record *record

	mu       sync.Mutex
	rows     map[partKey]map[string]storeRow
	version  int64
	changed  chan struct{}
	partBusy map[string]time.Time
	began    time.Time
	// down means that every call is answered 503 and does nothing.
	down bool
	// slow is the factor on the time of every answer.
	slow float64
	// written is told of each transaction that was applied, and by which process.
	written func(process string, applied transaction)
	// rejected counts the calls beyond the limits of a row or a call.
	rejected int
}

func newStore(record *record) *store {
	return &store{record: record, rows: make(map[partKey]map[string]storeRow), changed: make(chan struct{}), partBusy: make(map[string]time.Time), began: time.Now(), slow: 1}
}

// serve serves the store to one process at the address until the program ends.
func (s *store) serve(process, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	mux.HandleFunc("POST /-/rows-tx", func(w http.ResponseWriter, r *http.Request) { s.transact(process, w, r) })
	go func() { _ = http.Serve(listener, s.unlessDown(mux)) }()
	return nil
}

// unlessDown answers 503 while the store is down.
func (s *store) unlessDown(serving http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down := s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		serving.ServeHTTP(w, r)
	})
}

// setDown takes the store down or brings it back.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// onWritten sets what is told of each transaction that was applied.
func (s *store) onWritten(written func(process string, applied transaction)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.written = written
}

// setSlow makes each answer take factor times as long.
func (s *store) setSlow(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = factor
}

func (s *store) wait(base time.Duration) {
	s.mu.Lock()
	factor := s.slow
	s.mu.Unlock()
	time.Sleep(time.Duration(float64(base) * factor))
}

// put writes a row as the operator does.
func (s *store) put(table, key string, value any) {
	encoded, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(storeRow{Table: table, Key: key, Value: encoded})
}

// set stores a row with the current version. The caller holds the lock.
func (s *store) set(row storeRow) {
	row.Version = s.version
	part := s.rows[row.partKey()]
	if part == nil {
		part = make(map[string]storeRow)
		s.rows[row.partKey()] = part
	}
	part[row.Key] = row
	close(s.changed)
	s.changed = make(chan struct{})
}

// inRange returns the rows of a part with from <= key < to, in the order of their keys. The
// caller holds the lock.
func (s *store) inRange(part partKey, from, to string) []storeRow {
	rows, found := s.rows[part], []storeRow{}
	if from != "" && to == from+"\x00" {
		if row, ok := rows[from]; ok && !row.Deleted {
			found = append(found, row)
		}
		return found
	}
	for key, row := range rows {
		if !row.Deleted && key >= from && (to == "" || key < to) {
			found = append(found, row)
		}
	}
	slices.SortFunc(found, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	return found
}

// changedAfter returns the rows of a table with a higher version, in the order of their
// versions. The caller holds the lock.
func (s *store) changedAfter(table string, version int64) []storeRow {
	found := []storeRow{}
	for part, rows := range s.rows {
		if part.table != table {
			continue
		}
		for _, row := range rows {
			if row.Version > version {
				found = append(found, row)
			}
		}
	}
	slices.SortFunc(found, func(a, b storeRow) int { return int(a.Version - b.Version) })
	return found
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.wait(storeAnswer)
	query := r.URL.Query()
	part, from, to := query.Get("part"), query.Get("from"), query.Get("to")
	limit := maxPageRows
	if asked, err := strconv.Atoi(query.Get("limit")); err == nil && asked > 0 {
		limit = min(asked, maxPageRows)
	}
	s.mu.Lock()
	found := s.inRange(partKey{query.Get("table"), part}, from, to)
	page := s.page(found[:min(len(found), limit)], len(found) > limit)
	s.mu.Unlock()
	reply(w, http.StatusOK, page)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	millis, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(millis) * time.Millisecond)
	for {
		s.mu.Lock()
		found := s.changedAfter(query.Get("table"), after)
		found = found[:min(len(found), maxPageRows)]
		page, changed := s.page(found, false), s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			s.wait(storeAnswer)
			reply(w, http.StatusOK, page)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.wait(storeAnswer)
			reply(w, http.StatusOK, page)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// page returns the body of a reply with rows. The caller holds the lock.
func (s *store) page(rows []storeRow, more bool) map[string]any {
	return map[string]any{"rows": rows, "has_more": more, "ver": s.version, "now_ms": time.Since(s.began).Milliseconds()}
}

type transaction struct {
	Expect []storeRow `json:"expect"`
	Writes []storeRow `json:"writes"`
	Remove []storeRow `json:"remove"`
}

// entries returns all entries of the transaction.
func (t transaction) entries() []storeRow { return slices.Concat(t.Expect, t.Writes, t.Remove) }

func (s *store) transact(process string, w http.ResponseWriter, r *http.Request) {
	raw, err := readAll(r)
	var asked transaction
	if err != nil || json.Unmarshal(raw, &asked) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if problem := asked.problem(len(raw)); problem != "" {
		s.mu.Lock()
		s.rejected++
		first := s.rejected == 1
		s.mu.Unlock()
		if first {
			s.record.say("store: a call is rejected with 400: %s", problem)
		}
		s.wait(storeAnswer)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !s.awaitPart(asked.entries()) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	s.mu.Lock()
	status, current := s.apply(asked)
	body, written := s.page(current, false), s.written
	s.mu.Unlock()
	if status == http.StatusOK && written != nil {
		written(process, asked)
	}
	s.wait(storeTransaction)
	reply(w, status, body)
}

// problem returns which limit of a call or a row the transaction exceeds; "" for none.
func (t transaction) problem(size int) string {
	entries := t.entries()
	if len(entries) > maxEntries {
		return strconv.Itoa(len(entries)) + " entries"
	}
	if size > maxCallBytes {
		return "a call of " + strconv.Itoa(size) + " bytes"
	}
	for _, row := range t.Writes {
		if len(row.Value) > maxRowBytes {
			return "the value of row " + row.Key + " has " + strconv.Itoa(len(row.Value)) + " bytes, row_bytes is " + strconv.Itoa(maxRowBytes)
		}
	}
	for _, row := range entries {
		if row.Part != entries[0].Part {
			return "several parts"
		}
		if row.Table == "op" || row.Table == "servers" {
			return "a table of the operator"
		}
	}
	return ""
}

// awaitPart waits for the turn of a transaction at its part. It returns false if too
// many wait there.
func (s *store) awaitPart(entries []storeRow) bool {
	if len(entries) == 0 {
		return true
	}
	part := entries[0].Part
	s.mu.Lock()
	now := time.Now()
	turn := s.partBusy[part]
	if turn.Before(now) {
		turn = now
	}
	if turn.Sub(now) > maxPartWait {
		s.mu.Unlock()
		return false
	}
	s.partBusy[part] = turn.Add(time.Second / partWritesPerSec)
	s.mu.Unlock()
	time.Sleep(time.Until(turn))
	return true
}

// apply applies a transaction. The caller holds the lock.
func (s *store) apply(asked transaction) (int, []storeRow) {
	current := []storeRow{}
	conflict := false
	for _, expected := range asked.Expect {
		stored, ok := s.rows[expected.partKey()][expected.Key]
		if !ok || stored.Deleted {
			stored = storeRow{}
		} else {
			current = append(current, stored)
		}
		conflict = conflict || stored.Version != expected.Version
	}
	if conflict {
		return http.StatusPreconditionFailed, current
	}
	s.version++
	for _, row := range asked.Writes {
		row.Deleted = false
		s.set(row)
	}
	for _, row := range asked.Remove {
		row.Deleted, row.Value = true, nil
		s.set(row)
	}
	return http.StatusOK, []storeRow{}
}
