package sidecar

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"

	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
	"github.com/figring/figring/store/memory"
	"github.com/figring/figring/wire"
)

func TestRunReturnsTheResult(t *testing.T) {
	h := newHarness(t, 1)
	reply := h.run(h.request(3))
	must.Eq(t, "3", receive(t, h.minion.started))
	h.minion.release <- struct{}{}
	got := receive(t, reply)
	must.Eq(t, wire.RunDone, got.Status)
	must.Eq(t, "result 3", string(got.Result.Body))
	must.Eq(t, xxhash.Sum64String("result 3"), got.Result.Digest)
	must.Eq(t, 3, got.Result.Index)
	must.Eq(t, "w", got.Result.Worker)
	must.Positive(t, got.MessageNumber)
	must.Positive(t, got.Load.Sequence)
}

func TestRunSendsStartDeadline(t *testing.T) {
	h := newHarness(t, 1)
	startBefore := make(chan int64, 1)
	handler := http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		nanos, _ := strconv.ParseInt(request.Header.Get(HeaderStartBefore), 10, 64)
		startBefore <- nanos
	})
	h.minion.handler.Store(&handler)
	sent := time.Now()
	receive(t, h.run(h.request(0)))
	deadline := time.Unix(0, receive(t, startBefore))
	must.True(t, deadline.After(sent))
	must.False(t, deadline.After(time.Now().Add(2*time.Second)), must.Sprint("later than the end of the permit"))
}

func TestDuplicateDispatchIsNotStarted(t *testing.T) {
	h := newHarness(t, 2)
	first := h.run(h.request(0))
	receive(t, h.minion.started)
	must.Eq(t, wire.RunDuplicate, receive(t, h.run(h.request(0))).Status)
	h.minion.release <- struct{}{}
	must.Eq(t, wire.RunDone, receive(t, first).Status)
	must.Eq(t, wire.RunDuplicate, receive(t, h.run(h.request(0))).Status)
	must.Eq(t, 0, len(h.minion.started))
}

func TestPermitExpiresWhileQueued(t *testing.T) {
	h := newHarness(t, 1)
	running := h.run(h.request(0))
	receive(t, h.minion.started)
	waiting := h.run(h.request(1))
	h.eventually("queued", func() bool { return h.queued() == 1 })
	h.entry.ttl.Store(0)
	got := receive(t, waiting)
	must.Eq(t, wire.RunNotStarted, got.Status)
	must.Eq(t, wire.ReasonNoPermit, got.Reason)
	h.minion.release <- struct{}{}
	must.Eq(t, wire.RunDone, receive(t, running).Status)
	must.Eq(t, wire.ReasonNoPermit, receive(t, h.run(h.request(2))).Reason)
	must.Eq(t, 0, len(h.minion.started))
}

func TestRestartRejectsRequestForPreviousIncarnation(t *testing.T) {
	h := newHarness(t, 1)
	old := h.request(0)
	h.stop()
	must.NoError(t, <-h.ended)
	h.announcements.started.Store(false)
	h.start()
	h.eventually("ready", func() bool { return h.state() == wire.TargetReady })
	must.Eq(t, wire.ReasonWrongIncarnation, receive(t, h.run(old)).Reason)
	look := receive(t, rpcCall[wire.LookupReply](h, wire.MethodLookup, &wire.LookupRequest{Entry: entryName}))
	must.False(t, look.First)
	must.Eq(t, h.sidecar.Incarnation(), look.Sidecar)
}

func TestResultSurvivesALostConnection(t *testing.T) {
	h := newHarness(t, 1)
	lost := h.run(h.request(0))
	receive(t, h.minion.started)
	h.pool.Disconnect(h.sidecar.Address())
	_, open := <-lost
	must.False(t, open)

	attach := &wire.AttachRequest{Entry: "f.1", Ref: h.request(0).Ref}
	joined := rpcCall[wire.RunReply](h, wire.MethodAttach, attach)
	h.eventually("both calls open", func() bool {
		current, _ := h.sidecar.status()
		return current.calls == 2
	})
	h.minion.release <- struct{}{}
	must.Eq(t, "result 0", string(receive(t, joined).Result.Body))
	must.Eq(t, "result 0", string(receive(t, rpcCall[wire.RunReply](h, wire.MethodAttach, attach)).Result.Body))

	request := &wire.LookupRequest{Entry: "f.1", Keys: []model.JobKey{h.key}}
	look := receive(t, rpcCall[wire.LookupReply](h, wire.MethodLookup, request))
	must.True(t, look.First)
	must.Len(t, 1, look.Records)
	must.Eq(t, wire.PhaseDone, look.Records[0].Phase)
	must.Eq(t, "result 0", string(look.Records[0].Result.Body))
}

func TestWithdraw(t *testing.T) {
	h := newHarness(t, 1)
	running := h.run(h.request(0))
	receive(t, h.minion.started)
	waiting := h.run(h.request(1))
	h.eventually("queued", func() bool { return h.queued() == 1 })
	request := &wire.WithdrawRequest{Entry: entryName, Key: h.key, StopRunning: true}
	got := receive(t, rpcCall[wire.WithdrawReply](h, wire.MethodWithdraw, request))
	must.Eq(t, wire.WithdrawReply{Withdrawn: 1, Started: 1}, got)
	must.Eq(t, wire.ReasonWithdrawn, receive(t, waiting).Reason)
	must.Eq(t, h.key.String(), receive(t, h.minion.stopped))
	h.minion.release <- struct{}{}
	must.Eq(t, wire.RunDone, receive(t, running).Status)
}

func TestRevoke(t *testing.T) {
	h := newHarness(t, 1)
	running := h.run(h.request(0))
	receive(t, h.minion.started)
	waiting := h.run(h.request(1))
	h.eventually("queued", func() bool { return h.queued() == 1 })
	request := &wire.RevokeRequest{Entry: entryName, BundleVersion: 2}
	must.Eq(t, 1, receive(t, rpcCall[wire.RevokeReply](h, wire.MethodRevoke, request)).Withdrawn)
	must.Eq(t, wire.ReasonNoPermit, receive(t, waiting).Reason)
	must.Eq(t, wire.ReasonNoPermit, receive(t, h.run(h.request(2))).Reason)
	h.minion.release <- struct{}{}
	must.Eq(t, wire.RunDone, receive(t, running).Status)
}

func TestDrainWaitsForRunningTasks(t *testing.T) {
	h := newHarness(t, 1)
	running := h.run(h.request(0))
	receive(t, h.minion.started)
	waiting := h.run(h.request(1))
	h.eventually("queued", func() bool { return h.queued() == 1 })
	h.stop()
	must.Eq(t, wire.ReasonDraining, receive(t, waiting).Reason)
	h.eventually("draining reported to the entry", func() bool { return h.entry.receivedState(wire.TargetDraining) })
	must.Eq(t, wire.ReasonDraining, receive(t, h.run(h.request(2))).Reason)
	h.minion.release <- struct{}{}
	must.Eq(t, wire.RunDone, receive(t, running).Status)
	must.NoError(t, <-h.ended)
	row := h.row()
	must.True(t, row.Left)
	must.False(t, row.ResultsBehind)
}

func TestMinionResponses(t *testing.T) {
	h := newHarness(t, 1)
	cases := []struct {
		name    string
		handler http.HandlerFunc
		status  wire.RunStatus
		reason  wire.NotStartedReason
		code    int
	}{
		{"truncated", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "short")
		}, wire.RunUnknown, "", 0},
		{"no body length", func(w http.ResponseWriter, _ *http.Request) {
			conn, _, _ := w.(http.Hijacker).Hijack()
			_, _ = io.WriteString(conn, "HTTP/1.0 200 OK\r\n\r\nmaybe whole")
			_ = conn.Close()
		}, wire.RunUnknown, "", 0},
		{"connection closed", func(w http.ResponseWriter, _ *http.Request) {
			conn, _, _ := w.(http.Hijacker).Hijack()
			_ = conn.Close()
		}, wire.RunUnknown, "", 0},
		{"too late", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(412) }, wire.RunNotStarted, wire.ReasonMinionRefused, 0},
		{"busy", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderNotRun, "true")
			w.WriteHeader(503)
		}, wire.RunNotStarted, wire.ReasonMinionRefused, 0},
		{"failed", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, wire.RunDone, "", 503},
		{"too large", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(make([]byte, maxBodyBytes+1))
		}, wire.RunDone, "", 502},
	}
	for index, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			h.minion.handler.Store(&test.handler)
			got := receive(t, h.run(h.request(index)))
			must.Eq(t, test.status, got.Status)
			must.Eq(t, test.reason, got.Reason)
			must.Eq(t, test.code, got.Result.Status)
		})
	}
}

func TestUnreachableMinion(t *testing.T) {
	h := newHarness(t, 1)
	h.minion.server.Close()
	got := receive(t, h.run(h.request(0)))
	must.Eq(t, wire.RunNotStarted, got.Status)
	must.Eq(t, wire.ReasonMinionRefused, got.Reason)
}

func TestSilentMinionIsLost(t *testing.T) {
	h := newHarness(t, 1)
	running := h.run(h.request(0))
	receive(t, h.minion.started)
	waiting := h.run(h.request(1))
	h.eventually("queued", func() bool { return h.queued() == 1 })
	h.announcements.silent.Store(true)
	must.Eq(t, wire.ReasonNoMinion, receive(t, waiting).Reason)
	must.Eq(t, wire.TargetEmpty, h.state())
	h.minion.release <- struct{}{}
	must.Eq(t, wire.RunDone, receive(t, running).Status)
}

func TestLeavingMinionGetsNoNewTasks(t *testing.T) {
	h := newHarness(t, 1)
	h.announcements.setState(store.MinionLeaving)
	h.eventually("draining", func() bool { return h.state() == wire.TargetDraining })
	must.Eq(t, wire.ReasonDraining, receive(t, h.run(h.request(0))).Reason)
	h.announcements.setState(store.MinionReady)
	h.eventually("ready", func() bool { return h.state() == wire.TargetReady })
}

func TestStartsWhileStoreIsUnavailable(t *testing.T) {
	table := &faultyTable{Table: memory.NewTable()}
	h := newStoppedHarness(t, 1, table)
	table.unavailable.Store(true)
	h.start()
	must.Eq(t, wire.ReasonNoMinion, receive(t, h.run(h.request(0))).Reason)
	table.unavailable.Store(false)
	h.eventually("permit and ready", func() bool { return h.hasPermit() && h.state() == wire.TargetReady })
	must.True(t, h.row().First)
}

func TestFirstIsSetWhenWriteOutcomeIsUnknown(t *testing.T) {
	table := &faultyTable{Table: memory.NewTable()}
	table.loseReply.Store(true)
	h := newStoppedHarness(t, 1, table)
	h.start()
	h.eventually("ready", func() bool { return h.state() == wire.TargetReady })
	must.True(t, table.replyLost.Load())
	look := receive(t, rpcCall[wire.LookupReply](h, wire.MethodLookup, &wire.LookupRequest{Entry: entryName}))
	must.True(t, look.First)
}

func TestStatusPages(t *testing.T) {
	h := newHarness(t, 1)
	for _, path := range []string{"/livez", "/readyz"} {
		must.Eq(t, 200, h.get(path))
	}
	h.announcements.setState(store.MinionLeaving)
	h.eventually("draining", func() bool { return h.state() == wire.TargetDraining })
	must.Eq(t, 200, h.get("/livez"))
	must.Eq(t, 503, h.get("/readyz"))
}

func TestLongPermitIsNotRenewed(t *testing.T) {
	h := newHarness(t, 1)
	h.entry.ttl.Store(int64(time.Hour))
	h.eventually("permit of an hour", func() bool {
		replyTo := make(chan renewalState, 1)
		current, err := ask(h.sidecar.mailbox, renewalStateMessage{entry: entryName, replyTo: replyTo}, replyTo)
		return err == nil && current.remaining > time.Minute
	})
	before := h.entry.renewals.Load()
	time.Sleep(2 * time.Second)
	must.Eq(t, before, h.entry.renewals.Load())
}

func (h *harness) get(path string) int {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + h.sidecar.StatusAddress() + path)
	must.NoError(h.t, err)
	must.NoError(h.t, response.Body.Close())
	return response.StatusCode
}

func (h *harness) row() wire.SidecarRow {
	stored, err := h.table.Get(h.t.Context(), wire.SidecarRowKey("s"))
	must.NoError(h.t, err)
	var row wire.SidecarRow
	must.NoError(h.t, json.Unmarshal(stored.Value, &row))
	return row
}
