package client_test

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/api"
	"github.com/figring/figring/client"
	"github.com/figring/figring/common/problem"
	"github.com/figring/figring/model"
)

// entry starts a server that handles its nth request with the nth handler, and all
// later requests with the last handler. It also returns the number of requests.
func entry(t *testing.T, answers ...http.HandlerFunc) (url string, asked *atomic.Int64) {
	t.Helper()
	asked = &atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		index := min(int(asked.Add(1)), len(answers)) - 1
		answers[index](w, r)
	}))
	t.Cleanup(server.Close)
	return server.URL, asked
}

func complete(w http.ResponseWriter, r *http.Request) {
	var job api.JobRequest
	if err := json.NewDecoder(r.Body).Decode(&job); err != nil || r.Header.Get("Authorization") != "Bearer token" {
		problem.Write(w, model.NewRefusal(model.CodeInvalid, 0, "not as sent: %v", err))
		return
	}
	_ = json.NewEncoder(w).Encode(api.JobResponse{Key: job.Key, State: api.JobComplete})
}

func refuse(refusal *model.Refusal) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { problem.Write(w, refusal) }
}

// lost closes the connection in the middle of a response.
func lost(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = w.Write([]byte(`{"key":`))
	panic(http.ErrAbortHandler)
}

// page responds like a load balancer that can't reach an entry.
func page(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusBadGateway)
	_, _ = w.Write([]byte("<html>"))
}

func TestSubmit(t *testing.T) {
	busy := refuse(model.NewRefusal(model.CodeOverloaded, 1, "busy"))
	cases := []struct {
		name    string
		answers []http.HandlerFunc
		asked   int64
		code    model.Code
	}{
		{"at the first attempt", []http.HandlerFunc{complete}, 1, ""},
		{"after a lost response", []http.HandlerFunc{lost, complete}, 2, ""},
		{"after a load balancer's error page", []http.HandlerFunc{page, complete}, 2, ""},
		{"after refusals with a retry delay", []http.HandlerFunc{busy, busy, complete}, 3, ""},
		{"permanently refused", []http.HandlerFunc{refuse(model.NewRefusal(model.CodeKeyConflict, 0, "other body")), complete}, 1, model.CodeKeyConflict},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			url, asked := entry(t, tc.answers...)
			one, err := client.New(client.Options{BaseURLs: []string{url + "/"}, Token: "token"})
			must.NoError(t, err)
			defer one.Close()
			answer, err := one.Submit(t.Context(), &api.JobRequest{Key: "k"})
			must.EqOp(t, tc.asked, asked.Load())
			if tc.code == "" {
				must.NoError(t, err)
				must.EqOp(t, "k", answer.Key)
				return
			}
			var told *client.Problem
			must.True(t, errors.As(err, &told))
			must.EqOp(t, tc.code, told.Code)
			must.EqOp(t, model.NotRun, told.Outcome)
			must.EqOp(t, http.StatusConflict, told.Status)
		})
	}
}

func TestSubmitGoesToTheNextEntry(t *testing.T) {
	first, firstAsked := entry(t, lost)
	second, secondAsked := entry(t, complete)
	one, err := client.New(client.Options{BaseURLs: []string{first, second}, Token: "token"})
	must.NoError(t, err)
	defer one.Close()
	_, err = one.Submit(t.Context(), &api.JobRequest{Key: "k"})
	must.NoError(t, err)
	must.EqOp(t, 1, firstAsked.Load())
	must.EqOp(t, 1, secondAsked.Load())
}

func TestSubmitOnceDoesNotRetry(t *testing.T) {
	url, asked := entry(t, lost, complete)
	one, err := client.New(client.Options{BaseURLs: []string{url}, Token: "token"})
	must.NoError(t, err)
	defer one.Close()
	_, err = one.SubmitOnce(t.Context(), &api.JobRequest{Key: "k"})
	must.ErrorIs(t, err, client.ErrTransport)
	must.EqOp(t, 1, asked.Load())
}

func TestNewRequiresABaseURL(t *testing.T) {
	_, err := client.New(client.Options{})
	must.Error(t, err)
}
