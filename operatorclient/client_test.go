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

// nobody is an address that refuses connections.
const nobody = "http://127.0.0.1:1"

// entry serves handler and counts the requests.
func entry(t *testing.T, handler http.HandlerFunc) (url string, asked *atomic.Int64) {
	t.Helper()
	asked = &atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		handler(w, r)
	}))
	t.Cleanup(server.Close)
	return server.URL, asked
}

func accept(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(rollout.ChangeResult{Version: 7, Changed: true})
}

func lost(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func TestAChangeGoesOnOnlyWhenNothingWasSent(t *testing.T) {
	cases := []struct {
		name  string
		first http.HandlerFunc
		// second is how often the second entry is asked.
		second int64
		failed bool
	}{
		{"refused connection", nil, 1, false},
		{"lost answer", lost, 0, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			first := nobody
			if tc.first != nil {
				first, _ = entry(t, tc.first)
			}
			second, asked := entry(t, accept)
			one := operatorclient.New([]string{first, second}, "token")
			defer one.Close()
			accepted, err := one.CloseZone(t.Context(), "garching", nil)
			must.EqOp(t, tc.second, asked.Load())
			must.EqOp(t, tc.failed, errors.Is(err, operatorclient.ErrTransport))
			must.EqOp(t, tc.second == 1, accepted.Version == 7)
		})
	}
}

func TestAReadGoesOnAfterALostAnswer(t *testing.T) {
	first, _ := entry(t, lost)
	second, _ := entry(t, func(w http.ResponseWriter, r *http.Request) {
		must.EqOp(t, "Bearer token", r.Header.Get("Authorization"))
		must.EqOp(t, "/v1/bundle/in-force?version=7", r.URL.String())
		_, _ = w.Write([]byte(`{"version":7,"inForce":true}`))
	})
	one := operatorclient.New([]string{first, second}, "token")
	defer one.Close()
	must.NoError(t, one.AwaitInForce(t.Context(), 7))
}

func TestARefusalIsTold(t *testing.T) {
	url, asked := entry(t, func(w http.ResponseWriter, _ *http.Request) {
		problem.Write(w, model.NewRefusal(model.CodeVersionConflict, 0, "version 8 is in force"))
	})
	one := operatorclient.New([]string{url, url}, "token")
	defer one.Close()
	_, err := one.RollOut(t.Context(), "id")
	var told *operatorclient.Problem
	must.True(t, errors.As(err, &told))
	must.EqOp(t, model.CodeVersionConflict, told.Code)
	must.EqOp(t, model.NotRun, told.Outcome)
	must.EqOp(t, 1, asked.Load())
}

func TestNoAddress(t *testing.T) {
	_, err := operatorclient.New(nil, "token").Status(t.Context())
	must.ErrorIs(t, err, operatorclient.ErrTransport)
}
