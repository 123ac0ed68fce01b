package operatorclient_test

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/common/problem"
	"github.com/figring/figring/model"
	"github.com/figring/figring/operatorclient"
	"github.com/figring/figring/rollout"
)

// refusingURL is a URL whose port refuses connections.
const refusingURL = "http://127.0.0.1:1"

// newEntryServer starts a server with handler and counts its requests.
func newEntryServer(t *testing.T, handler http.HandlerFunc) (url string, requests *atomic.Int64) {
	t.Helper()
	requests = &atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		handler(w, r)
	}))
	t.Cleanup(server.Close)
	return server.URL, requests
}

func writeAccepted(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(rollout.ChangeResult{Version: 7, Changed: true})
}

func abortResponse(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func TestChangeFailsOverOnlyBeforeSending(t *testing.T) {
	cases := []struct {
		name  string
		first http.HandlerFunc
		// secondRequests is the expected number of requests to the second entry.
		secondRequests int64
		transportError bool
	}{
		{"refused connection", nil, 1, false},
		{"aborted response", abortResponse, 0, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			first := refusingURL
			if tc.first != nil {
				first, _ = newEntryServer(t, tc.first)
			}
			second, requests := newEntryServer(t, writeAccepted)
			client := operatorclient.New([]string{first, second}, "token")
			defer client.Close()
			accepted, err := client.CloseZone(t.Context(), "garching", nil)
			must.EqOp(t, tc.secondRequests, requests.Load())
			must.EqOp(t, tc.transportError, errors.Is(err, operatorclient.ErrTransport))
			must.EqOp(t, tc.secondRequests == 1, accepted.Version == 7)
		})
	}
}

func TestReadFailsOverAfterAbortedResponse(t *testing.T) {
	first, _ := newEntryServer(t, abortResponse)
	second, _ := newEntryServer(t, func(w http.ResponseWriter, r *http.Request) {
		must.EqOp(t, "Bearer token", r.Header.Get("Authorization"))
		must.EqOp(t, "/v1/bundle/in-force?version=7", r.URL.String())
		_, _ = w.Write([]byte(`{"version":7,"inForce":true}`))
	})
	client := operatorclient.New([]string{first, second}, "token")
	defer client.Close()
	must.NoError(t, client.AwaitInForce(t.Context(), 7))
}

func TestRefusalIsReturnedAsProblem(t *testing.T) {
	url, requests := newEntryServer(t, func(w http.ResponseWriter, _ *http.Request) {
		problem.Write(w, model.NewRefusal(model.CodeVersionConflict, 0, "version 8 is in force"))
	})
	client := operatorclient.New([]string{url, url}, "token")
	defer client.Close()
	_, err := client.RollOut(t.Context(), "id")
	var refusal *operatorclient.Problem
	must.True(t, errors.As(err, &refusal))
	must.EqOp(t, model.CodeVersionConflict, refusal.Code)
	must.EqOp(t, model.NotRun, refusal.Outcome)
	must.EqOp(t, 1, requests.Load())
}

func TestNoAddressIsTransportError(t *testing.T) {
	_, err := operatorclient.New(nil, "token").Status(t.Context())
	must.ErrorIs(t, err, operatorclient.ErrTransport)
}
