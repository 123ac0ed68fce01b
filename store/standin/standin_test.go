package standin_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/figring/figring/store/fault"
	"github.com/figring/figring/store/standin"
	"github.com/shoenig/test/must"
)

func sendRequest(service http.Handler, method, path, body string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	service.ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
	return recorder
}

func newService() (*standin.Service, *fault.Injector) {
	injector := fault.New(fault.Settings{WriteMillis: 0.5}, 1, nil)
	return standin.New(injector), injector
}

func TestService_ControlFaults(t *testing.T) {
	cases := []struct {
		name, body string
		status     int
		want       fault.Settings
	}{
		{"outage", `{"outage":true}`, 200, fault.Settings{WriteMillis: 0.5, Outage: true}},
		{"latency", `{"writeMillis":2}`, 200, fault.Settings{WriteMillis: 2}},
		{"reset to the initial settings", `{}`, 200, fault.Settings{WriteMillis: 0.5}},
		{"unknown field", `{"outrage":true}`, 400, fault.Settings{WriteMillis: 0.5}},
		{"not a probability", `{"replyLoss":1.5}`, 400, fault.Settings{WriteMillis: 0.5}},
		{"negative latency", `{"afterMillis":-1}`, 400, fault.Settings{WriteMillis: 0.5}},
		{"body too large", `{` + strings.Repeat(" ", 64<<10) + `}`, 400, fault.Settings{WriteMillis: 0.5}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			service, injector := newService()
			must.Eq(t, tc.status, sendRequest(service, "PUT", "/control/faults", tc.body).Code)
			must.Eq(t, tc.want, injector.Settings())
		})
	}
}

func TestService_Counters(t *testing.T) {
	service, _ := newService()
	sendRequest(service, "POST", "/v1/table/commit", `{"writes":[{"key":"a"}]}`)
	sendRequest(service, "POST", "/v1/table/commit", `{"conditions":[{"key":"a"}]}`)
	sendRequest(service, "POST", "/v1/table/get", `{"key":"a"}`)
	sendRequest(service, "POST", "/v1/table/list", `{"limit":1}`)
	sendRequest(service, "POST", "/v1/objects/put", `{"name":"a"}`)
	sendRequest(service, "POST", "/v1/objects/get", `{"name":"a"}`)
	got := sendRequest(service, "GET", "/control/counters", "")
	must.Eq(t, `{"reads":3,"writes":3,"tableReads":2,"tableWrites":2,"objectReads":1,"objectWrites":1,"conflicts":1}`,
		strings.TrimSpace(got.Body.String()))
}

func TestService_RejectsInvalidRequests(t *testing.T) {
	service, _ := newService()
	must.Eq(t, http.StatusMethodNotAllowed, sendRequest(service, "PUT", "/v1/table/commit", `{}`).Code)
	must.Eq(t, http.StatusBadRequest, sendRequest(service, "POST", "/v1/table/commit", `{"writes":1}`).Code)
}

func TestServe_StopsWhenContextIsCancelled(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	serveErr := make(chan error, 1)
	service, _ := newService()
	go func() { serveErr <- standin.Serve(ctx, listener, service) }()
	response, err := http.Get("http://" + listener.Addr().String() + "/control/faults")
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	must.Eq(t, http.StatusOK, response.StatusCode)
	cancel()
	must.NoError(t, <-serveErr)
	_, err = net.Dial("tcp", listener.Addr().String())
	must.Error(t, err)
}
