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

// Headers of the requests to a minion and of its responses.
const (
	HeaderJob     = "Figring-Job"
	HeaderTask    = "Figring-Task"
	HeaderClass   = "Figring-Class"
	HeaderAttempt = "Figring-Attempt"
	// HeaderStartBefore is a wall-clock time in Unix nanoseconds. A minion that
	// receives the request later responds with 412 and does not run the task.
	HeaderStartBefore = "Figring-Start-Before"
	// HeaderNotRun with the value "true" on a 503 response guarantees that the
	// minion did not run the task.
	HeaderNotRun = "Figring-Not-Run"
)

const (
	// maxBodyBytes is the maximum size of the body of a minion's response.
	maxBodyBytes = 1 << 20
	// minTrimCapacity is the minimum unused capacity in bytes for which a body is
	// copied to release that capacity.
	minTrimCapacity = 64
	// minionDialTimeout bounds the dialing of a connection to the minion.
	minionDialTimeout = time.Second
	// minionIdleTimeout is how long an idle connection to the minion is kept.
	minionIdleTimeout = 30 * time.Second
	// stopTimeout bounds a request to stop a task.
	stopTimeout = time.Second
)

// taskRequest is a request to a minion to run one task.
type taskRequest struct {
	ref         model.TaskRef
	class       string
	payload     []byte
	attempt     int
	startBefore time.Time
	deadline    time.Time
}

// runOutcome is the outcome of a taskRequest. result contains a response only if
// outcome is EndDone.
type runOutcome struct {
	outcome startgate.EndOutcome
	result  model.TaskResult
}

// minionClient is the HTTP client of one announced minion.
type minionClient struct {
	address   string
	worker    string
	transport *http.Transport
}

func newMinionClient(announcement store.Announcement, worker string) *minionClient {
	dialer := &net.Dialer{Timeout: minionDialTimeout}
	return &minionClient{
		address: announcement.Address,
		worker:  worker,
		transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxConnsPerHost:     announcement.Connections,
			MaxIdleConnsPerHost: announcement.Connections,
			IdleConnTimeout:     minionIdleTimeout,
			DisableCompression:  true,
		},
	}
}

// run sends one task to the minion and waits for the complete response. The
// transport retries a POST only if no byte of it was written, so the minion can't
// receive the task twice.
func (m *minionClient) run(ctx context.Context, task taskRequest) runOutcome {
	ctx, cancel := context.WithDeadline(ctx, task.deadline)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := m.newRequest(ctx, task)
	if err != nil {
		return runOutcome{outcome: startgate.EndNotRun}
	}
	sent := time.Now()
	response, err := m.transport.RoundTrip(request)
	if err != nil {
		return outcomeWithoutResponse(connected.Load())
	}
	defer func() { _ = response.Body.Close() }()
	outcome := m.readResponse(response)
	outcome.result.Index = task.ref.Index
	outcome.result.RunTime = time.Since(sent)
	return outcome
}

// outcomeWithoutResponse returns the outcome of a request that got no response. If
// no connection was obtained, no part of the request can have been sent.
func outcomeWithoutResponse(connected bool) runOutcome {
	if connected {
		return runOutcome{outcome: startgate.EndUnknown}
	}
	return runOutcome{outcome: startgate.EndNotRun}
}

// newRequest returns the HTTP request that runs a task.
func (m *minionClient) newRequest(ctx context.Context, task taskRequest) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.address+"/run", bytes.NewReader(task.payload))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	header := request.Header
	header.Set(HeaderJob, task.ref.Key.String())
	header.Set(HeaderTask, strconv.Itoa(task.ref.Index))
	header.Set(HeaderClass, task.class)
	header.Set(HeaderAttempt, strconv.Itoa(task.attempt))
	header.Set(HeaderStartBefore, strconv.FormatInt(task.startBefore.UnixNano(), 10))
	return request, nil
}

// readResponse reads the body and returns the outcome. A body of more than
// maxBodyBytes is reported as a result with status 502; an incomplete or invalid
// response as unknown.
func (m *minionClient) readResponse(response *http.Response) runOutcome {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes+1))
	if reportsNotRun(response) {
		return runOutcome{outcome: startgate.EndNotRun}
	}
	if len(body) > maxBodyBytes {
		return m.doneOutcome(http.StatusBadGateway, nil)
	}
	if err != nil || !bodyDelimited(response) || response.StatusCode < 200 || response.StatusCode > 599 {
		return runOutcome{outcome: startgate.EndUnknown}
	}
	return m.doneOutcome(response.StatusCode, trimCapacity(body))
}

// trimCapacity returns body without spare capacity, because a result may stay in
// memory for minutes.
func trimCapacity(body []byte) []byte {
	if cap(body)-len(body) < minTrimCapacity {
		return body
	}
	return bytes.Clone(body)
}

// bodyDelimited reports whether the response has a content length or a transfer
// encoding. Without either, the end of the body can't be distinguished from a lost
// connection.
func bodyDelimited(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// reportsNotRun reports whether the response guarantees that the task was not run.
func reportsNotRun(response *http.Response) bool {
	if response.StatusCode == http.StatusPreconditionFailed {
		return true
	}
	return response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(HeaderNotRun) == "true"
}

func (m *minionClient) doneOutcome(status int, body []byte) runOutcome {
	return runOutcome{
		outcome: startgate.EndDone,
		result:  model.TaskResult{Status: status, Body: body, Digest: xxhash.Sum64(body), Worker: m.worker},
	}
}

// stopRequest is the JSON body of a request to stop a task.
type stopRequest struct {
	Job  string `json:"job"`
	Task int    `json:"task"`
}

// stop asks the minion to stop a task. Whether or not this succeeds, the end of the
// task is reported by the response to its run request.
func (m *minionClient) stop(ctx context.Context, ref model.TaskRef) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	body, err := json.Marshal(stopRequest{Job: ref.Key.String(), Task: ref.Index})
	if err != nil {
		return Error.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.address+"/stop", bytes.NewReader(body))
	if err != nil {
		return Error.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := m.transport.RoundTrip(request)
	if err != nil {
		return Error.Wrap(err)
	}
	_, readErr := io.Copy(io.Discard, io.LimitReader(response.Body, maxBodyBytes))
	if response.StatusCode >= http.StatusMultipleChoices {
		readErr = fmt.Errorf("minion responded to the stop request with status %d", response.StatusCode)
	}
	return Error.Wrap(errors.Join(readErr, response.Body.Close()))
}

// matches reports whether the client has the address and the connection limit of
// the announcement.
func (m *minionClient) matches(announcement store.Announcement) bool {
	return m.address == announcement.Address && m.transport.MaxConnsPerHost == announcement.Connections
}

// close closes the idle connections. Connections in use are closed when their
// requests end.
func (m *minionClient) close() { m.transport.CloseIdleConnections() }
