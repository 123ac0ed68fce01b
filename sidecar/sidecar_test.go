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
	r := newRig(t, 1)
	reply := r.run(r.request(3))
	must.Eq(t, "3", wait(t, r.minion.started))
	r.minion.release <- struct{}{}
	got := wait(t, reply)
	must.Eq(t, wire.RunDone, got.Status)
	must.Eq(t, "result 3", string(got.Result.Body))
	must.Eq(t, xxhash.Sum64String("result 3"), got.Result.Digest)
	must.Eq(t, 3, got.Result.Index)
	must.Eq(t, "w", got.Result.Worker)
	must.Positive(t, got.MessageNumber)
	must.Positive(t, got.Load.Sequence)
}

func TestRunNamesTheLatestStart(t *testing.T) {
	r := newRig(t, 1)
	latest := make(chan int64, 1)
	special := http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		number, _ := strconv.ParseInt(request.Header.Get(HeaderStartBefore), 10, 64)
		latest <- number
	})
	r.minion.answer.Store(&special)
	begun := time.Now()
	wait(t, r.run(r.request(0)))
	before := time.Unix(0, wait(t, latest))
	must.True(t, before.After(begun))
	must.False(t, before.After(time.Now().Add(2*time.Second)), must.Sprint("later than the permit"))
}

func TestSecondDispatchStartsNothing(t *testing.T) {
	r := newRig(t, 2)
	first := r.run(r.request(0))
	wait(t, r.minion.started)
	must.Eq(t, wire.RunDuplicate, wait(t, r.run(r.request(0))).Status)
	r.minion.release <- struct{}{}
	must.Eq(t, wire.RunDone, wait(t, first).Status)
	must.Eq(t, wire.RunDuplicate, wait(t, r.run(r.request(0))).Status)
	must.Eq(t, 0, len(r.minion.started))
}

func TestPermitLapsesWhileQueued(t *testing.T) {
	r := newRig(t, 1)
	running := r.run(r.request(0))
	wait(t, r.minion.started)
	waiting := r.run(r.request(1))
	r.eventually("queued", func() bool { return r.queued() == 1 })
	r.entry.ttl.Store(0)
	got := wait(t, waiting)
	must.Eq(t, wire.RunNotStarted, got.Status)
	must.Eq(t, wire.ReasonNoPermit, got.Reason)
	r.minion.release <- struct{}{}
	must.Eq(t, wire.RunDone, wait(t, running).Status)
	must.Eq(t, wire.ReasonNoPermit, wait(t, r.run(r.request(2))).Reason)
	must.Eq(t, 0, len(r.minion.started))
}

func TestRestartRejectsWhatWasMeantForItsPredecessor(t *testing.T) {
	r := newRig(t, 1)
	old := r.request(0)
	r.stop()
	must.NoError(t, <-r.ended)
	r.beats.begun.Store(false)
	r.begin()
	r.eventually("ready", func() bool { return r.state() == wire.TargetReady })
	must.Eq(t, wire.ReasonWrongIncarnation, wait(t, r.run(old)).Reason)
	look := wait(t, rpcCall[wire.LookupReply](r, wire.MethodLookup, &wire.LookupRequest{Entry: entryName}))
	must.False(t, look.First)
	must.Eq(t, r.sidecar.Incarnation(), look.Sidecar)
}

func TestResultSurvivesALostConnection(t *testing.T) {
	r := newRig(t, 1)
	lost := r.run(r.request(0))
	wait(t, r.minion.started)
	r.pool.Disconnect(r.sidecar.Address())
	_, open := <-lost
	must.False(t, open)

	attach := &wire.AttachRequest{Entry: "f.1", Ref: r.request(0).Ref}
	joined := rpcCall[wire.RunReply](r, wire.MethodAttach, attach)
	r.eventually("both calls open", func() bool {
		now, _ := r.sidecar.status()
		return now.calls == 2
	})
	r.minion.release <- struct{}{}
	must.Eq(t, "result 0", string(wait(t, joined).Result.Body))
	must.Eq(t, "result 0", string(wait(t, rpcCall[wire.RunReply](r, wire.MethodAttach, attach)).Result.Body))

	ask := &wire.LookupRequest{Entry: "f.1", Keys: []model.JobKey{r.key}}
	look := wait(t, rpcCall[wire.LookupReply](r, wire.MethodLookup, ask))
	must.True(t, look.First)
	must.Len(t, 1, look.Records)
	must.Eq(t, wire.PhaseDone, look.Records[0].Phase)
	must.Eq(t, "result 0", string(look.Records[0].Result.Body))
}

func TestWithdraw(t *testing.T) {
	r := newRig(t, 1)
	running := r.run(r.request(0))
	wait(t, r.minion.started)
	waiting := r.run(r.request(1))
	r.eventually("queued", func() bool { return r.queued() == 1 })
	request := &wire.WithdrawRequest{Entry: entryName, Key: r.key, StopRunning: true}
	got := wait(t, rpcCall[wire.WithdrawReply](r, wire.MethodWithdraw, request))
	must.Eq(t, wire.WithdrawReply{Withdrawn: 1, Started: 1}, got)
	must.Eq(t, wire.ReasonWithdrawn, wait(t, waiting).Reason)
	must.Eq(t, r.key.String(), wait(t, r.minion.stopped))
	r.minion.release <- struct{}{}
	must.Eq(t, wire.RunDone, wait(t, running).Status)
}

func TestRevoke(t *testing.T) {
	r := newRig(t, 1)
	running := r.run(r.request(0))
	wait(t, r.minion.started)
	waiting := r.run(r.request(1))
	r.eventually("queued", func() bool { return r.queued() == 1 })
	request := &wire.RevokeRequest{Entry: entryName, BundleVersion: 2}
	must.Eq(t, 1, wait(t, rpcCall[wire.RevokeReply](r, wire.MethodRevoke, request)).Withdrawn)
	must.Eq(t, wire.ReasonNoPermit, wait(t, waiting).Reason)
	must.Eq(t, wire.ReasonNoPermit, wait(t, r.run(r.request(2))).Reason)
	r.minion.release <- struct{}{}
	must.Eq(t, wire.RunDone, wait(t, running).Status)
}

func TestDrainFinishesWhatRuns(t *testing.T) {
	r := newRig(t, 1)
	running := r.run(r.request(0))
	wait(t, r.minion.started)
	waiting := r.run(r.request(1))
	r.eventually("queued", func() bool { return r.queued() == 1 })
	r.stop()
	must.Eq(t, wire.ReasonDraining, wait(t, waiting).Reason)
	r.eventually("entry told", func() bool { return r.entry.heard(wire.TargetDraining) })
	must.Eq(t, wire.ReasonDraining, wait(t, r.run(r.request(2))).Reason)
	r.minion.release <- struct{}{}
	must.Eq(t, wire.RunDone, wait(t, running).Status)
	must.NoError(t, <-r.ended)
	row := r.row()
	must.True(t, row.Left)
	must.False(t, row.ResultsBehind)
}

func TestMinionAnswers(t *testing.T) {
	r := newRig(t, 1)
	cases := []struct {
		name   string
		answer http.HandlerFunc
		status wire.RunStatus
		reason wire.NotStartedReason
		code   int
	}{
		{"truncated", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "short")
		}, wire.RunUnknown, "", 0},
		{"no end mark", func(w http.ResponseWriter, _ *http.Request) {
			conn, _, _ := w.(http.Hijacker).Hijack()
			_, _ = io.WriteString(conn, "HTTP/1.0 200 OK\r\n\r\nmaybe whole")
			_ = conn.Close()
		}, wire.RunUnknown, "", 0},
		{"cut", func(w http.ResponseWriter, _ *http.Request) {
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
	for index, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			r.minion.answer.Store(&one.answer)
			got := wait(t, r.run(r.request(index)))
			must.Eq(t, one.status, got.Status)
			must.Eq(t, one.reason, got.Reason)
			must.Eq(t, one.code, got.Result.Status)
		})
	}
}

func TestMinionThatCannotBeDialed(t *testing.T) {
	r := newRig(t, 1)
	r.minion.server.Close()
	got := wait(t, r.run(r.request(0)))
	must.Eq(t, wire.RunNotStarted, got.Status)
	must.Eq(t, wire.ReasonMinionRefused, got.Reason)
}

func TestSilentMinionIsLost(t *testing.T) {
	r := newRig(t, 1)
	running := r.run(r.request(0))
	wait(t, r.minion.started)
	waiting := r.run(r.request(1))
	r.eventually("queued", func() bool { return r.queued() == 1 })
	r.beats.silent.Store(true)
	must.Eq(t, wire.ReasonNoMinion, wait(t, waiting).Reason)
	must.Eq(t, wire.TargetEmpty, r.state())
	r.minion.release <- struct{}{}
	must.Eq(t, wire.RunDone, wait(t, running).Status)
}

func TestLeavingMinionGetsNoMore(t *testing.T) {
	r := newRig(t, 1)
	r.beats.say(store.MinionLeaving)
	r.eventually("draining", func() bool { return r.state() == wire.TargetDraining })
	must.Eq(t, wire.ReasonDraining, wait(t, r.run(r.request(0))).Reason)
	r.beats.say(store.MinionReady)
	r.eventually("ready", func() bool { return r.state() == wire.TargetReady })
}

func TestStartsWithoutTheStore(t *testing.T) {
	table := &gatedTable{Table: memory.NewTable()}
	r := newIdleRig(t, 1, table)
	table.out.Store(true)
	r.begin()
	must.Eq(t, wire.ReasonNoMinion, wait(t, r.run(r.request(0))).Reason)
	table.out.Store(false)
	r.eventually("live", func() bool { return r.live() && r.state() == wire.TargetReady })
	must.True(t, r.row().First)
}

func TestFirstHoldsWhenTheWriteWasInDoubt(t *testing.T) {
	table := &gatedTable{Table: memory.NewTable()}
	table.doubt.Store(true)
	r := newIdleRig(t, 1, table)
	r.begin()
	r.eventually("ready", func() bool { return r.state() == wire.TargetReady })
	must.True(t, table.doubted.Load())
	look := wait(t, rpcCall[wire.LookupReply](r, wire.MethodLookup, &wire.LookupRequest{Entry: entryName}))
	must.True(t, look.First)
}

func TestStatusPages(t *testing.T) {
	r := newRig(t, 1)
	for _, path := range []string{"/livez", "/readyz"} {
		must.Eq(t, 200, r.get(path))
	}
	r.beats.say(store.MinionLeaving)
	r.eventually("draining", func() bool { return r.state() == wire.TargetDraining })
	must.Eq(t, 200, r.get("/livez"))
	must.Eq(t, 503, r.get("/readyz"))
}

func TestRenewsOnlyWhenAPermitIsAboutToEnd(t *testing.T) {
	r := newRig(t, 1)
	r.entry.ttl.Store(int64(time.Hour))
	r.eventually("a long permit", func() bool {
		answer := make(chan renewalState, 1)
		got, err := ask(r.sidecar.mailbox, renewalStateMessage{entry: entryName, answer: answer}, answer)
		return err == nil && got.remaining > time.Minute
	})
	before := r.entry.renewals.Load()
	time.Sleep(2 * time.Second)
	must.Eq(t, before, r.entry.renewals.Load())
}

func (r *rig) get(path string) int {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + r.sidecar.StatusAddress() + path)
	must.NoError(r.t, err)
	must.NoError(r.t, answer.Body.Close())
	return answer.StatusCode
}

func (r *rig) row() wire.SidecarRow {
	held, err := r.table.Get(r.t.Context(), wire.SidecarRowKey("s"))
	must.NoError(r.t, err)
	var row wire.SidecarRow
	must.NoError(r.t, json.Unmarshal(held.Value, &row))
	return row
}
