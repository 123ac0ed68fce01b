package operator

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/common/problem"
	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
)

// TestServerLimitsHeaderBytes checks on a real listener that NewServer limits the
// size of request headers.
func TestServerLimitsHeaderBytes(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := NewServer(newTestAPI(t).handler)
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	transport := &http.Transport{}
	client := &http.Client{Transport: transport, Timeout: 10 * time.Second}
	statuses := map[int]int{100: http.StatusOK, maxHeaderBytes + 8<<10: http.StatusRequestHeaderFieldsTooLarge}
	for size, status := range statuses {
		request, err := http.NewRequest("GET", "http://"+listener.Addr().String()+"/v1/status", nil)
		must.NoError(t, err)
		request.Header.Set("Authorization", "Bearer anna")
		request.Header.Set("X-Filler", strings.Repeat("a", size))
		response, err := client.Do(request)
		must.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		must.NoError(t, err)
		must.NoError(t, response.Body.Close())
		must.EqOp(t, status, response.StatusCode)
	}
	transport.CloseIdleConnections()
	must.NoError(t, server.Close())
	must.ErrorIs(t, <-done, http.ErrServerClosed)
}

// TestRequestTimeoutReportsUnknownOutcome checks that a request ends at its
// timeout with an unknown outcome when every commit fails with
// store.ErrUnknownOutcome.
func TestRequestTimeoutReportsUnknownOutcome(t *testing.T) {
	r := newTestAPIWithTimeout(t, 250*time.Millisecond)
	r.table.commitErr = store.ErrUnknownOutcome
	var refused problem.Details
	response := r.send("anna", "POST", "/v1/zones/garching/close", "", &refused)
	must.EqOp(t, http.StatusServiceUnavailable, response.StatusCode)
	must.EqOp(t, model.Unknown, refused.Outcome)
}
