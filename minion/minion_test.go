package minion_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/figring/figring/common/bubble"
	"github.com/figring/figring/minion"
	"github.com/shoenig/test/must"
)

func options() minion.Options {
	return minion.Options{Name: "m1", Worker: "w1", Zone: "schwabing", Slots: 2, Connections: 4}
}

func newMinion(t *testing.T, options minion.Options) *minion.Minion {
	t.Helper()
	m, err := minion.New(options)
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, m.Close()) })
	return m
}

func send(m *minion.Minion, method, path, body string, headers ...string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	recorder := httptest.NewRecorder()
	m.ServeHTTP(recorder, request)
	return recorder
}

func run(m *minion.Minion, task int, body string, more ...string) *httptest.ResponseRecorder {
	headers := append([]string{"Figring-Job", "j1", "Figring-Task", fmt.Sprint(task)}, more...)
	return send(m, "POST", "/run", body, headers...)
}

func TestRun_Payloads(t *testing.T) {
	cases := []struct {
		name, payload string
		control       minion.Control
		status        int
		body          string
		took          time.Duration
	}{
		{"run time", `{"runMs":300,"output":"done"}`, minion.Control{Speed: 1}, 200, "done", 300 * time.Millisecond},
		{"speed", `{"runMs":300,"output":"done"}`, minion.Control{Speed: 2}, 200, "done", 150 * time.Millisecond},
		{"delay on both sides", `{"runMs":300,"output":""}`, minion.Control{Speed: 1, DelayMillis: 10}, 200, "", 320 * time.Millisecond},
		{"failing task", `{"runMs":5,"fail":true}`, minion.Control{Speed: 1}, 500, "failed", 5 * time.Millisecond},
		{"failing minion", `{"runMs":300}`, minion.Control{Speed: 1, FailEverything: true}, 500, "failed", 0},
		{"negative run time", `{"runMs":-1,"output":"x"}`, minion.Control{Speed: 1}, 200, "x", 0},
		{"not JSON", `abc`, minion.Control{Speed: 1}, 200, `{"bytes":3,"digest":"44bc2cf5ad770999"}`, minion.DefaultRun},
		{"JSON but no object", `[1]`, minion.Control{Speed: 1}, 200, fmt.Sprintf(`{"bytes":3,"digest":"%016x"}`, xxhash.Sum64String("[1]")), minion.DefaultRun},
	}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				m := newMinion(t, options())
				m.SetControl(one.control)
				start := time.Now()
				answer := run(m, 0, one.payload)
				must.Eq(t, one.took, time.Since(start))
				must.Eq(t, one.status, answer.Code)
				must.Eq(t, one.body, answer.Body.String())
				must.Eq(t, "", answer.Header().Get("Figring-Not-Run"))
				must.SliceLen(t, 1, m.Ledger())
				must.Eq(t, one.status, m.Ledger()[0].Status)
			})
		})
	}
}

func TestRun_Refusals(t *testing.T) {
	cases := []struct {
		name    string
		headers []string
		body    string
		status  int
	}{
		{"no job", []string{"Figring-Task", "1"}, "", 400},
		{"no task", []string{"Figring-Job", "j"}, "", 400},
		{"task is no number", []string{"Figring-Job", "j", "Figring-Task", "x"}, "", 400},
		{"attempt is no number", []string{"Figring-Job", "j", "Figring-Task", "1", "Figring-Attempt", "x"}, "", 400},
		{"bound is no number", []string{"Figring-Job", "j", "Figring-Task", "1", "Figring-Start-Before", "x"}, "", 400},
		{"payload too large", []string{"Figring-Job", "j", "Figring-Task", "1"}, strings.Repeat("x", 16<<20+1), 413},
	}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			m := newMinion(t, options())
			answer := send(m, "POST", "/run", one.body, one.headers...)
			must.Eq(t, one.status, answer.Code)
			must.Eq(t, "true", answer.Header().Get("Figring-Not-Run"))
			must.SliceEmpty(t, m.Ledger())
		})
	}
}

func TestRun_StartBefore(t *testing.T) {
	cases := []struct {
		name   string
		bound  time.Duration
		status int
	}{
		{"earlier than the delay ends", 9 * time.Millisecond, 412},
		{"just when the delay ends", 10 * time.Millisecond, 200},
	}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				m := newMinion(t, options())
				m.SetControl(minion.Control{Speed: 1, DelayMillis: 10})
				bound := fmt.Sprint(time.Now().Add(one.bound).UnixNano())
				answer := run(m, 0, "", "Figring-Start-Before", bound)
				must.Eq(t, one.status, answer.Code)
				late := one.status == 412
				must.Eq(t, late, answer.Header().Get("Figring-Not-Run") == "true")
				must.Eq(t, late, len(m.Ledger()) == 0)
				must.Eq(t, late, m.Counts().Late == 1)
			})
		})
	}
}

func TestRun_SlotsAndStop(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		m := newMinion(t, options())
		answers := make([]*httptest.ResponseRecorder, 2)
		for i := range answers {
			go func() { answers[i] = run(m, i, `{"runMs":1000,"output":"done"}`) }()
		}
		synctest.Wait()
		beyond := run(m, 2, "")
		must.Eq(t, http.StatusServiceUnavailable, beyond.Code)
		must.Eq(t, "true", beyond.Header().Get("Figring-Not-Run"))

		stop := send(m, "POST", "/stop", `{"job":"j1","task":1}`)
		must.Eq(t, `{"stopped":1}`, strings.TrimSpace(stop.Body.String()))
		synctest.Wait()
		must.Eq(t, http.StatusConflict, answers[1].Code)
		must.Eq(t, "stopped", answers[1].Body.String())
		again := send(m, "POST", "/stop", `{"job":"j1","task":1}`)
		must.Eq(t, `{"stopped":0}`, strings.TrimSpace(again.Body.String()))
		must.Eq(t, http.StatusOK, run(m, 2, `{"runMs":1}`).Code)

		time.Sleep(time.Second)
		synctest.Wait()
		must.Eq(t, "done", answers[0].Body.String())
		want := minion.Counts{Started: 3, Succeeded: 2, Stopped: 1, PeakRunning: 2, SlotOverruns: 1}
		must.Eq(t, want, m.Counts())
	})
}

func TestLedger_Lines(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		with := options()
		with.LedgerFile = filepath.Join(t.TempDir(), "ledger.jsonl")
		m := newMinion(t, with)
		run(m, 4, `{"runMs":2}`, "Figring-Class", "eligibility", "Figring-Attempt", "3")
		between := time.Now().UnixNano()
		run(m, 5, `{"runMs":2,"fail":true}`)
		born := m.Ledger()[0].Incarnation
		line := func(id, task, attempt int, class string, start, end int64, status int) string {
			return fmt.Sprintf(`{"incarnation":%d,"id":%d,"job":"j1","task":%d,"attempt":%d,"class":%q,`+
				`"minion":"m1","worker":"w1","zone":"schwabing","startNs":%d,"endNs":%d,"status":%d}`+"\n",
				born, id, task, attempt, class, start, end, status)
		}
		const run = int64(2 * time.Millisecond)
		first := line(1, 4, 3, "eligibility", born, born+run, 200)
		second := line(2, 5, 1, "", between, between+run, 500)
		must.Eq(t, first+second, send(m, "GET", "/ledger", "").Body.String())
		must.Eq(t, second, send(m, "GET", fmt.Sprintf("/ledger?since=%d", between), "").Body.String())
		must.Eq(t, http.StatusBadRequest, send(m, "GET", "/ledger?since=x", "").Code)

		file, err := os.ReadFile(with.LedgerFile)
		must.NoError(t, err)
		want := line(1, 4, 3, "eligibility", born, 0, 0) + first + line(2, 5, 1, "", between, 0, 0) + second
		must.Eq(t, want, string(file))
	})
}

func TestControl_Put(t *testing.T) {
	cases := []struct {
		name, body string
		status     int
		want       minion.Control
	}{
		{"speed", `{"speed":4}`, 200, minion.Control{Speed: 4}},
		{"failing", `{"failEverything":true,"delayMillis":1.5}`, 200, minion.Control{Speed: 2, FailEverything: true, DelayMillis: 1.5}},
		{"back to the start", `{}`, 200, minion.Control{Speed: 2}},
		{"no speed", `{"speed":0}`, 400, minion.Control{Speed: 2}},
		{"negative delay", `{"delayMillis":-1}`, 400, minion.Control{Speed: 2}},
		{"unknown field", `{"slots":1}`, 400, minion.Control{Speed: 2}},
	}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			with := options()
			with.Control.Speed = 2
			m := newMinion(t, with)
			must.Eq(t, one.status, send(m, "PUT", "/control", one.body).Code)
			must.Eq(t, one.want, m.Control())
		})
	}
}

func TestNew_RefusesOptions(t *testing.T) {
	cases := []struct {
		name   string
		change func(*minion.Options)
	}{
		{"no name", func(o *minion.Options) { o.Name = "" }},
		{"no slots", func(o *minion.Options) { o.Slots = 0 }},
		{"no connections", func(o *minion.Options) { o.Connections = 0 }},
		{"negative speed", func(o *minion.Options) { o.Control.Speed = -1 }},
		{"sidecar is no URL", func(o *minion.Options) { o.AnnounceURL = "127.0.0.1:1" }},
	}
	for _, one := range cases {
		with := options()
		one.change(&with)
		_, err := minion.New(with)
		must.True(t, minion.ErrOptions.Has(err), must.Sprint(one.name))
	}
}
