package command

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
)

func TestStandins_ServeUntilSIGTERM(t *testing.T) {
	cases := []struct {
		name string
		args []string
		path string
		want string
	}{
		{
			"platform",
			[]string{"standin-platform", "--listen", "127.0.0.1:0", "--write-latency", "20ms", "--read-latency", "0s"},
			"/control/faults",
			`{"outage":false,"hang":false,"readMillis":0,"writeMillis":20,"beforeMillis":0,"afterMillis":0,"replyLoss":0,"writeLoss":0}`,
		},
		{
			"minion",
			[]string{"standin-minion", "--listen", "127.0.0.1:0", "--speed", "0.5", "--delay", "1500us", "--fail-everything"},
			"/control",
			`{"speed":0.5,"failEverything":true,"delayMillis":1.5}`,
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			reader, writer := io.Pipe()
			exited := make(chan int, 1)
			go func() {
				exited <- Run(tc.args, io.Discard, writer)
				_ = writer.Close()
			}()
			lines := bufio.NewReader(reader)
			address := readListenAddress(t, lines)
			go func() { _, _ = io.Copy(io.Discard, lines) }()
			must.Eq(t, tc.want, get(t, "http://"+address+tc.path))
			must.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
			must.Eq(t, ExitOK, <-exited)
		})
	}
}

// readListenAddress returns the address in the "listening" log line.
func readListenAddress(t *testing.T, lines *bufio.Reader) string {
	t.Helper()
	text, err := lines.ReadBytes('\n')
	must.NoError(t, err)
	var line struct{ Message, Address string }
	must.NoError(t, json.Unmarshal(text, &line))
	must.Eq(t, "listening", line.Message)
	return line.Address
}

func get(t *testing.T, url string) string {
	t.Helper()
	response, err := http.Get(url)
	must.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	return strings.TrimSpace(string(body))
}

func TestStandins_WrongUsage(t *testing.T) {
	cases := [][]string{
		{"standin-platform", "--write-latency", "-1ms"},
		{"standin-platform", "--read-latency", "1h"},
		{"standin-platform", "--listen", "127.0.0.1:-1"},
		{"standin-minion", "--slots", "0"},
		{"standin-minion", "--speed", "-1"},
		{"standin-minion", "--announce", "127.0.0.1:7200"},
		{"standin-minion", "--listen", "nowhere"},
	}
	for _, args := range cases {
		var out, errOut bytes.Buffer
		must.Eq(t, ExitUsage, Run(args, &out, &errOut), must.Sprint(args))
		must.StrContains(t, errOut.String(), "figring: ")
	}
}

func TestStandins_Help(t *testing.T) {
	for _, name := range []string{"standin-platform", "standin-minion"} {
		var out, errOut bytes.Buffer
		must.Eq(t, ExitOK, Run([]string{name, "--help"}, &out, &errOut))
		must.StrContains(t, out.String(), "figring "+name+" --listen")
		must.Eq(t, "", errOut.String())
	}
}
