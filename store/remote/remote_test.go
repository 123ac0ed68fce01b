package remote_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/figring/figring/store"
	"github.com/figring/figring/store/contract"
	"github.com/figring/figring/store/fault"
	"github.com/figring/figring/store/remote"
	"github.com/figring/figring/store/standin"
	"github.com/shoenig/test/must"
)

func newClientAndService(t *testing.T, settings fault.Settings) (*remote.Client, *fault.Injector) {
	t.Helper()
	injector := fault.New(settings, 1, nil)
	server := httptest.NewServer(standin.New(injector))
	t.Cleanup(server.Close)
	return newClient(t, server.URL), injector
}

func newClient(t *testing.T, baseURL string) *remote.Client {
	t.Helper()
	client := remote.New(baseURL, 0)
	t.Cleanup(client.Close)
	return client
}

func TestTable_Contract(t *testing.T) {
	contract.Table(t, func(t *testing.T) store.Table {
		client, _ := newClientAndService(t, fault.Settings{})
		return client.Table()
	})
}

func TestObjects_Contract(t *testing.T) {
	contract.Objects(t, func(t *testing.T) store.Objects {
		client, _ := newClientAndService(t, fault.Settings{})
		return client.Objects()
	})
}

func TestTable_Faults(t *testing.T) {
	contract.TableFaults(t, func(t *testing.T) (store.Table, func(fault.Settings)) {
		client, injector := newClientAndService(t, fault.Settings{})
		return client.Table(), injector.Set
	})
}

func TestObjects_Faults(t *testing.T) {
	contract.ObjectsFaults(t, func(t *testing.T) (store.Objects, func(fault.Settings)) {
		client, injector := newClientAndService(t, fault.Settings{})
		return client.Objects(), injector.Set
	})
}

var singleWriteTxn = store.Txn{Writes: []store.Write{{Key: "a", Value: []byte("1")}}}

func TestClient_RefusedConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	baseURL := "http://" + listener.Addr().String()
	must.NoError(t, listener.Close())
	table := newClient(t, baseURL).Table()
	_, err = table.Commit(t.Context(), singleWriteTxn)
	must.ErrorIs(t, err, store.ErrUnavailable)
	_, err = table.Get(t.Context(), "a")
	must.ErrorIs(t, err, store.ErrUnavailable)
}

// TestClient_InvalidReplies checks the errors for replies that do not conform to the
// protocol. Each case first uses its connection for a successful request, because an
// HTTP client may retry a request on a reused connection, and checks that the client
// sends no request twice.
func TestClient_InvalidReplies(t *testing.T) {
	cases := []struct {
		name  string
		reply func(w http.ResponseWriter)
	}{
		{"closed without a reply", func(http.ResponseWriter) { panic(http.ErrAbortHandler) }},
		{"proxy status", func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }},
		{"conflict without a code", func(w http.ResponseWriter) { w.WriteHeader(http.StatusConflict) }},
		{"server error", func(w http.ResponseWriter) { w.WriteHeader(http.StatusInternalServerError) }},
		{"code with a status that does not match", func(w http.ResponseWriter) {
			w.WriteHeader(http.StatusInternalServerError)
			_, _ = io.WriteString(w, `{"code":"conflict"}`)
		}},
		{"redirect", func(w http.ResponseWriter) {
			w.Header().Set("Location", "/v1/table/commit")
			w.WriteHeader(http.StatusTemporaryRedirect)
		}},
		{"truncated body", func(w http.ResponseWriter) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "{")
		}},
		{"body that is not JSON", func(w http.ResponseWriter) { _, _ = io.WriteString(w, "versions") }},
		{"reply to another request", func(w http.ResponseWriter) { _, _ = io.WriteString(w, "{}") }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var requestCount atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if requestCount.Add(1) == 1 {
					_, _ = io.WriteString(w, `{"versions":[1]}`)
					return
				}
				tc.reply(w)
			}))
			t.Cleanup(server.Close)
			table := newClient(t, server.URL).Table()
			_, err := table.Commit(t.Context(), singleWriteTxn)
			must.NoError(t, err)
			_, err = table.Commit(t.Context(), singleWriteTxn)
			must.ErrorIs(t, err, store.ErrUnknownOutcome)
			must.Eq(t, 2, requestCount.Load())
			_, err = table.Get(t.Context(), "a")
			must.ErrorIs(t, err, store.ErrUnavailable)
			must.Eq(t, 3, requestCount.Load())
		})
	}
}

// TestClient_LatencyIsConcurrent checks that the latency of one request does not
// delay others: it only completes if all 48 requests are in progress at once.
func TestClient_LatencyIsConcurrent(t *testing.T) {
	const requests = 48
	arrived := make(chan struct{}, requests)
	release := make(chan struct{})
	sleep := func(ctx context.Context, _ time.Duration) error {
		arrived <- struct{}{}
		select {
		case <-release:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	server := httptest.NewServer(standin.New(fault.New(fault.Settings{}, 1, sleep)))
	t.Cleanup(server.Close)
	table := newClient(t, server.URL).Table()
	var wg sync.WaitGroup
	var failed atomic.Int64
	for range requests {
		wg.Go(func() {
			if _, err := table.Commit(t.Context(), singleWriteTxn); err != nil {
				failed.Add(1)
			}
		})
	}
	for range requests {
		<-arrived
	}
	go func() {
		for range arrived {
		}
	}()
	close(release)
	wg.Wait()
	close(arrived)
	must.Eq(t, 0, failed.Load())
}
