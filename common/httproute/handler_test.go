package httproute_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/common/httproute"
)

func TestHandler(t *testing.T) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/things/{name}", func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte("got " + r.PathValue("name")))
	})
	mux.HandleFunc("DELETE /v1/things/{name}", func(http.ResponseWriter, *http.Request) {})
	handler := httproute.Handler(mux, func(w http.ResponseWriter, r *http.Request, status int) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte("no route"))
	})
	cases := []struct {
		name, method, path string
		status             int
		body, allow        string
	}{
		{"a route", "GET", "/v1/things/a%2Fb", 200, "got a/b", ""},
		{"another method", "POST", "/v1/things/a", 405, "no route", "DELETE, GET, HEAD"},
		{"another path", "GET", "/v1/other", 404, "no route", ""},
		{"trailing slash", "GET", "/v1/things/a/", 404, "no route", ""},
		{"empty segment", "GET", "/v1//things/a", 404, "no route", ""},
		{"parent segment", "GET", "/v1/x/../things/a", 404, "no route", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			reply := httptest.NewRecorder()
			handler.ServeHTTP(reply, httptest.NewRequest(c.method, c.path, nil))
			must.EqOp(t, c.status, reply.Code)
			must.EqOp(t, c.body, reply.Body.String())
			must.EqOp(t, c.allow, reply.Header().Get("Allow"))
		})
	}
}
