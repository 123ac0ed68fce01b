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

func run(m *minion.Minion, task int, body string, extraHeaders ...string) *httptest.ResponseRecorder {
	headers := append([]string{"Figring-Job", "j1", "Figring-Task", fmt.Sprint(task)}, extraHeaders...)
	return send(m, "POST", "/run", body, headers...)
}

func TestRun_Payloads(t *testing.T) {
	cases := []struct {
		name, payload string
		control       minion.Control
		status        int
		body          string
		elapsed       time.Duration
	}{
		{"run time", `{"runMs":300,"output":"done"}`, minion.Control{Speed: 1}, 200, "done", 300 * time.Millisecond},
		{"speed", `{"runMs":300,"output":"done"}`, minion.Control{Speed: 2}, 200, "done", 150 * time.Millisecond},
		{"delay before and after the task", `{"runMs":300,"output":""}`, minion.Control{Speed: 1, DelayMillis: 10}, 200, "", 320 * time.Millisecond},
		{"failing task", `{"runMs":5,"fail":true}`, minion.Control{Speed: 1}, 500, "failed", 5 * time.Millisecond},
		{"failing minion", `{"runMs":300}`, minion.Control{Speed: 1, FailEverything: true}, 500, "failed", 0},
		{"negative run time", `{"runMs":-1,"output":"x"}`, minion.Control{Speed: 1}, 200, "x", 0},
		{"not JSON", `abc`, minion.Control{Speed: 1}, 200, `{"bytes":3,"digest":"44bc2cf5ad770999"}`, minion.DefaultRun},
		{"JSON but not an object", `[1]`, minion.Control{Speed: 1}, 200, fmt.Sprintf(`{"bytes":3,"digest":"%016x"}`, xxhash.Sum64String("[1]")), minion.DefaultRun},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				m := newMinion(t, options())
				m.SetControl(tc.control)
				start := time.Now()
				answer := run(m, 0, tc.payload)
				must.Eq(t, tc.elapsed, time.Since(start))
				must.Eq(t, tc.status, answer.Code)
				must.Eq(t, tc.body, answer.Body.String())
				must.Eq(t, "", answer.Header().Get("Figring-Not-Run"))
				must.SliceLen(t, 1, m.Ledger())
				must.Eq(t, tc.status, m.Ledger()[0].Status)
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
		{"task is not a number", []string{"Figring-Job", "j", "Figring-Task", "x"}, "", 400},
		{"attempt is not a number", []string{"Figring-Job", "j", "Figring-Task", "1", "Figring-Attempt", "x"}, "", 400},
		{"latest start time is not a number", []string{"Figring-Job", "j", "Figring-Task", "1", "Figring-Start-Before", "x"}, "", 400},
		{"payload too large", []string{"Figring-Job", "j", "Figring-Task", "1"}, strings.Repeat("x", 16<<20+1), 413},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			m := newMinion(t, options())
			answer := send(m, "POST", "/run", tc.body, tc.headers...)
			must.Eq(t, tc.status, answer.Code)
			must.Eq(t, "true", answer.Header().Get("Figring-Not-Run"))
			must.SliceEmpty(t, m.Ledger())
		})
	}
}

func TestRun_StartBefore(t *testing.T) {
	cases := []struct {
		name        string
		startBefore time.Duration
		status      int
	}{
		{"before the end of the delay", 9 * time.Millisecond, 412},
		{"at the end of the delay", 10 * time.Millisecond, 200},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				m := newMinion(t, options())
				m.SetControl(minion.Control{Speed: 1, DelayMillis: 10})
				startBefore := fmt.Sprint(time.Now().Add(tc.startBefore).UnixNano())
				answer := run(m, 0, "", "Figring-Start-Before", startBefore)
				must.Eq(t, tc.status, answer.Code)
				late := tc.status == 412
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
		refused := run(m, 2, "")
		must.Eq(t, http.StatusServiceUnavailable, refused.Code)
		must.Eq(t, "true", refused.Header().Get("Figring-Not-Run"))

		stop := send(m, "POST", "/stop", `{"job":"j1","task":1}`)
		must.Eq(t, `{"stopped":1}`, strings.TrimSpace(stop.Body.String()))
		synctest.Wait()
		must.Eq(t, http.StatusConflict, answers[1].Code)
		must.Eq(t, "stopped", answers[1].Body.String())
		repeated := send(m, "POST", "/stop", `{"job":"j1","task":1}`)
		must.Eq(t, `{"stopped":0}`, strings.TrimSpace(repeated.Body.String()))
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
		opts := options()
		opts.LedgerFile = filepath.Join(t.TempDir(), "ledger.jsonl")
		m := newMinion(t, opts)
		run(m, 4, `{"runMs":2}`, "Figring-Class", "eligibility", "Figring-Attempt", "3")
		secondStart := time.Now().UnixNano()
		run(m, 5, `{"runMs":2,"fail":true}`)
		incarnation := m.Ledger()[0].Incarnation
		line := func(id, task, attempt int, class string, start, end int64, status int) string {
			return fmt.Sprintf(`{"incarnation":%d,"id":%d,"job":"j1","task":%d,"attempt":%d,"class":%q,`+
				`"minion":"m1","worker":"w1","zone":"schwabing","startNs":%d,"endNs":%d,"status":%d}`+"\n",
				incarnation, id, task, attempt, class, start, end, status)
		}
		const run = int64(2 * time.Millisecond)
		first := line(1, 4, 3, "eligibility", incarnation, incarnation+run, 200)
		second := line(2, 5, 1, "", secondStart, secondStart+run, 500)
		must.Eq(t, first+second, send(m, "GET", "/ledger", "").Body.String())
		must.Eq(t, second, send(m, "GET", fmt.Sprintf("/ledger?since=%d", secondStart), "").Body.String())
		must.Eq(t, http.StatusBadRequest, send(m, "GET", "/ledger?since=x", "").Code)

		file, err := os.ReadFile(opts.LedgerFile)
		must.NoError(t, err)
		want := line(1, 4, 3, "eligibility", incarnation, 0, 0) + first + line(2, 5, 1, "", secondStart, 0, 0) + second
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
		{"omitted fields return to the initial values", `{}`, 200, minion.Control{Speed: 2}},
		{"zero speed", `{"speed":0}`, 400, minion.Control{Speed: 2}},
		{"negative delay", `{"delayMillis":-1}`, 400, minion.Control{Speed: 2}},
		{"unknown field", `{"slots":1}`, 400, minion.Control{Speed: 2}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			opts := options()
			opts.Control.Speed = 2
			m := newMinion(t, opts)
			must.Eq(t, tc.status, send(m, "PUT", "/control", tc.body).Code)
			must.Eq(t, tc.want, m.Control())
		})
	}
}

func TestNew_RejectsInvalidOptions(t *testing.T) {
	cases := []struct {
		name   string
		change func(*minion.Options)
	}{
		{"no name", func(o *minion.Options) { o.Name = "" }},
		{"no slots", func(o *minion.Options) { o.Slots = 0 }},
		{"no connections", func(o *minion.Options) { o.Connections = 0 }},
		{"negative speed", func(o *minion.Options) { o.Control.Speed = -1 }},
		{"announce URL is not a URL", func(o *minion.Options) { o.AnnounceURL = "127.0.0.1:1" }},
	}
	for _, tc := range cases {
		opts := options()
		tc.change(&opts)
		_, err := minion.New(opts)
		must.True(t, minion.ErrOptions.Has(err), must.Sprint(tc.name))
	}
}
