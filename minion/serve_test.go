package minion_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/figring/figring/minion"
	"github.com/figring/figring/store"
	"github.com/figring/figring/store/announce"
	"github.com/shoenig/test/must"
)

// runningMinion is a minion that serves tasks and control requests on two
// separate ports.
type runningMinion struct {
	minion  *minion.Minion
	address string
	control string
	stop    context.CancelFunc
	done    chan error
}

func serve(t *testing.T, options minion.Options) *runningMinion {
	t.Helper()
	m, err := minion.New(options)
	must.NoError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	control, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	s := &runningMinion{
		minion:  m,
		address: listener.Addr().String(),
		control: control.Addr().String(),
		stop:    cancel,
		done:    make(chan error, 1),
	}
	go func() { s.done <- m.Serve(ctx, listener, control) }()
	return s
}

func post(client *http.Client, address, body string) (int, string, error) {
	request, err := http.NewRequest("POST", "http://"+address+"/run", strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	request.Header.Set("Figring-Job", "j1")
	request.Header.Set("Figring-Task", "0")
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

func TestServe_WaitsForRunningTasks(t *testing.T) {
	receiver := announce.NewReceiver()
	sidecar := httptest.NewServer(receiver)
	t.Cleanup(sidecar.Close)
	opts := options()
	opts.AnnounceURL = sidecar.URL
	s := serve(t, opts)
	ready, err := receiver.Next(t.Context())
	must.NoError(t, err)
	must.Eq(t, store.MinionReady, ready.State)
	must.Eq(t, s.address, ready.Address)
	must.Eq(t, 2, ready.Slots)
	must.Eq(t, 4, ready.Connections)

	type reply struct {
		status int
		body   string
		err    error
	}
	replies := make(chan reply, 1)
	go func() {
		status, body, err := post(http.DefaultClient, s.address, `{"runMs":500,"output":"done"}`)
		replies <- reply{status, body, err}
	}()
	for s.minion.Counts().Running == 0 {
		time.Sleep(time.Millisecond)
	}
	s.stop()
	for {
		announcement, err := receiver.Next(t.Context())
		must.NoError(t, err)
		if announcement.State == store.MinionLeaving {
			break
		}
	}
	must.Eq(t, reply{200, "done", nil}, <-replies)
	must.NoError(t, <-s.done)
	_, err = net.Dial("tcp", s.address)
	must.Error(t, err)
}

// TestServe_RefusesTasksThatWereSentBeforeTheSidecarKnew guards against a minion that closes
// its connections as soon as its sidecar knows that it leaves: a task sent before that is
// cut off, and nobody can tell whether it has run.
func TestServe_RefusesTasksThatWereSentBeforeTheSidecarKnew(t *testing.T) {
	const underway = 20 * time.Millisecond
	receiver := announce.NewReceiver()
	sidecar := httptest.NewServer(receiver)
	t.Cleanup(sidecar.Close)
	opts := options()
	opts.AnnounceURL = sidecar.URL
	s := serve(t, opts)
	client := &http.Client{}
	t.Cleanup(client.CloseIdleConnections)
	status, _, err := post(client, s.address, `{"runMs":1}`)
	must.NoError(t, err)
	must.EqOp(t, http.StatusOK, status)
	s.stop()
	for announced := store.MinionReady; announced != store.MinionLeaving; {
		announcement, err := receiver.Next(t.Context())
		must.NoError(t, err)
		announced = announcement.State
	}
	time.Sleep(underway)
	status, _, err = post(client, s.address, `{"runMs":1}`)
	must.NoError(t, err)
	must.EqOp(t, http.StatusServiceUnavailable, status)
	must.NoError(t, <-s.done)
}

func TestServe_TaskOutlivesClientConnection(t *testing.T) {
	s := serve(t, options())
	conn, err := net.Dial("tcp", s.address)
	must.NoError(t, err)
	const body = `{"runMs":100}`
	_, err = fmt.Fprintf(conn, "POST /run HTTP/1.1\r\nHost: m\r\nFigring-Job: j1\r\nFigring-Task: 0\r\n"+
		"Content-Length: %d\r\n\r\n%s", len(body), body)
	must.NoError(t, err)
	for s.minion.Counts().Running == 0 {
		time.Sleep(time.Millisecond)
	}
	must.NoError(t, conn.Close())
	s.stop()
	must.NoError(t, <-s.done)
	must.SliceLen(t, 1, s.minion.Ledger())
	start := s.minion.Ledger()[0]
	must.Eq(t, 200, start.Status)
	must.GreaterEq(t, int64(100*time.Millisecond), start.EndNs-start.StartNs)
}

func TestServe_LimitsConnections(t *testing.T) {
	s := serve(t, options())
	var open []net.Conn
	for range 4 {
		conn, err := net.Dial("tcp", s.address)
		must.NoError(t, err)
		open = append(open, conn)
	}
	for s.minion.Counts().PeakConnections < 4 {
		time.Sleep(time.Millisecond)
	}
	refused, err := net.Dial("tcp", s.address)
	must.NoError(t, err)
	_, err = refused.Read(make([]byte, 1))
	must.Error(t, err)
	must.NoError(t, refused.Close())
	must.Eq(t, 1, s.minion.Counts().ConnectionOverruns)

	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	status, _, err := post(client, s.control, `{"runMs":0}`)
	must.NoError(t, err)
	must.Eq(t, 200, status)
	must.Eq(t, 4, s.minion.Counts().PeakConnections)
	for _, conn := range open {
		must.NoError(t, conn.Close())
	}
	s.stop()
	must.NoError(t, <-s.done)
}
