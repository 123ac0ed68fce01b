package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figring/figring/decision/startgate"
	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
)

// The headers of a request to a minion.
const (
	HeaderJob     = "Figring-Job"
	HeaderTask    = "Figring-Task"
	HeaderClass   = "Figring-Class"
	HeaderAttempt = "Figring-Attempt"
	// HeaderStartBefore is a wall-clock time in Unix nanoseconds. A minion that
	// gets the request later answers 412 and does not run the task.
	HeaderStartBefore = "Figring-Start-Before"
	// HeaderNotRun on a 503 answer is the minion's word that the task was not
	// run.
	HeaderNotRun = "Figring-Not-Run"
)

const (
	// bodyLimit bounds the body of a minion's answer.
	bodyLimit = 1 << 20
	// clipSpare is the unused capacity in bytes that is worth a copy.
	clipSpare = 64
	// minionDialTimeout bounds the set-up of a connection to the minion.
	minionDialTimeout = time.Second
	// minionIdleTimeout is how long an unused connection is kept.
	minionIdleTimeout = 30 * time.Second
	// stopTimeout bounds the request to stop a task.
	stopTimeout = time.Second
)

// order is one task that is handed to a minion.
type order struct {
	ref         model.TaskRef
	class       string
	payload     []byte
	attempt     int
	startBefore time.Time
	deadline    time.Time
}

// verdict is what came of an order.
type verdict struct {
	outcome startgate.EndOutcome
	result  model.TaskResult
}

// minion is the client of one announced minion.
type minion struct {
	address   string
	worker    string
	transport *http.Transport
}

func newMinion(said store.Announcement, worker string) *minion {
	dialer := &net.Dialer{Timeout: minionDialTimeout}
	return &minion{
		address: said.Address,
		worker:  worker,
		transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxConnsPerHost:     said.Connections,
			MaxIdleConnsPerHost: said.Connections,
			IdleConnTimeout:     minionIdleTimeout,
			DisableCompression:  true,
		},
	}
}

// run hands one task to the minion and waits for the whole answer. The
// transport sends a POST again only when no byte of it was written.
func (m *minion) run(ctx context.Context, one order) verdict {
	ctx, cancel := context.WithDeadline(ctx, one.deadline)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := m.request(ctx, one)
	if err != nil {
		return verdict{outcome: startgate.EndNotRun}
	}
	sent := time.Now()
	answer, err := m.transport.RoundTrip(request)
	if err != nil {
		return failed(connected.Load())
	}
	defer func() { _ = answer.Body.Close() }()
	got := m.read(answer)
	got.result.Index = one.ref.Index
	got.result.RunTime = time.Since(sent)
	return got
}

// failed judges a request without an answer: without a connection nothing of
// it can have left.
func failed(connected bool) verdict {
	if connected {
		return verdict{outcome: startgate.EndUnknown}
	}
	return verdict{outcome: startgate.EndNotRun}
}

func (m *minion) request(ctx context.Context, one order) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.address+"/run", bytes.NewReader(one.payload))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	header := request.Header
	header.Set(HeaderJob, one.ref.Key.String())
	header.Set(HeaderTask, strconv.Itoa(one.ref.Index))
	header.Set(HeaderClass, one.class)
	header.Set(HeaderAttempt, strconv.Itoa(one.attempt))
	header.Set(HeaderStartBefore, strconv.FormatInt(one.startBefore.UnixNano(), 10))
	return request, nil
}

func (m *minion) read(answer *http.Response) verdict {
	body, err := io.ReadAll(io.LimitReader(answer.Body, bodyLimit+1))
	if notRun(answer) {
		return verdict{outcome: startgate.EndNotRun}
	}
	if len(body) > bodyLimit {
		return m.done(http.StatusBadGateway, nil)
	}
	if err != nil || !delimited(answer) || answer.StatusCode < 200 || answer.StatusCode > 599 {
		return verdict{outcome: startgate.EndUnknown}
	}
	return m.done(answer.StatusCode, clip(body))
}

// clip returns body without spare capacity: it may be kept for minutes.
func clip(body []byte) []byte {
	if cap(body)-len(body) < clipSpare {
		return body
	}
	return bytes.Clone(body)
}

// delimited reports whether the end of the body can be told from a cut.
func delimited(answer *http.Response) bool {
	return answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0
}

func notRun(answer *http.Response) bool {
	if answer.StatusCode == http.StatusPreconditionFailed {
		return true
	}
	return answer.StatusCode == http.StatusServiceUnavailable && answer.Header.Get(HeaderNotRun) == "true"
}

func (m *minion) done(status int, body []byte) verdict {
	return verdict{
		outcome: startgate.EndDone,
		result:  model.TaskResult{Status: status, Body: body, Digest: xxhash.Sum64(body), Worker: m.worker},
	}
}

// stopOrder is the body of a request to stop a task.
type stopOrder struct {
	Job  string `json:"job"`
	Task int    `json:"task"`
}

// stop asks the minion to stop a task. The end of the task comes through its
// own request, whatever becomes of this one.
func (m *minion) stop(ctx context.Context, ref model.TaskRef) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	body, err := json.Marshal(stopOrder{Job: ref.Key.String(), Task: ref.Index})
	if err != nil {
		return Error.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.address+"/stop", bytes.NewReader(body))
	if err != nil {
		return Error.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := m.transport.RoundTrip(request)
	if err != nil {
		return Error.Wrap(err)
	}
	_, readErr := io.Copy(io.Discard, io.LimitReader(answer.Body, bodyLimit))
	if answer.StatusCode >= http.StatusMultipleChoices {
		readErr = fmt.Errorf("stop answered %d", answer.StatusCode)
	}
	return Error.Wrap(errors.Join(readErr, answer.Body.Close()))
}

// serves reports whether the client fits the announcement.
func (m *minion) serves(said store.Announcement) bool {
	return m.address == said.Address && m.transport.MaxConnsPerHost == said.Connections
}

// close drops the unused connections; those in use go when they are done.
func (m *minion) close() { m.transport.CloseIdleConnections() }
