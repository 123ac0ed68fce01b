package settings

import (
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

func TestInstanceExamplesLoad(t *testing.T) {
	entry, err := LoadDispatcher(filepath.Join(examplesDir, "dispatcher.jsonc"))
	must.NoError(t, err)
	must.Eq(t, []string{"127.0.0.2:8482"}, entry.SeedRPCAddresses())
	must.EqOp(t, 24, entry.SidecarsPerEntry)
	sidecar, err := LoadExecutor(filepath.Join(examplesDir, "executor.jsonc"))
	must.NoError(t, err)
	must.EqOp(t, "127.0.0.3:8490", sidecar.Minion)
}

func TestInvalidInstanceSettings(t *testing.T) {
	cases := []struct{ name, old, new, field string }{
		{"unknown setting", `"zone"`, `"zoen"`, "zoen"},
		{"duplicate listener", `"127.0.0.1:8481"`, `"127.0.0.1:8480"`, "readyListen"},
		{"no address to dial", `"rpcListen": "127.0.0.1:8482"`, `"rpcListen": "0.0.0.0:8482"`, "rpcListen"},
		{"seed without a port", `"127.0.0.2:8480"`, `"127.0.0.2"`, "seeds[0]"},
		{"short secret", `"replace-this-secret"`, `"short"`, "secret"},
		{"grace without a unit", `"6s"`, `"6"`, "stopGrace"},
		{"no grace", `"6s"`, `"0s"`, "stopGrace"},
		{"unknown log", `"log": "all"`, `"log": "some"`, "log"},
		{"no writes", `"partWritesPerSecond": 150`, `"partWritesPerSecond": 0`, "partWritesPerSecond"},
		{"tiny rows", `"rowBytes": 65536`, `"rowBytes": 100`, "rowBytes"},
		{"class scheduling by a word", `"classScheduling": false`, `"classScheduling": "on"`, "classScheduling"},
		{"no sidecars", `"sidecarsPerEntry": 24`, `"sidecarsPerEntry": 0`, "sidecarsPerEntry"},
		{"negative memory", `"memoryMB": 0`, `"memoryMB": -1`, "memoryMB"},
		{"memory of a toy", `"memoryMB": 0`, `"memoryMB": 8.5`, "memoryMB"},
		{"memory as text", `"memoryMB": 0`, `"memoryMB": "144"`, "memoryMB"},
		{"part of a descriptor", `"maxDescriptors": 0`, `"maxDescriptors": 3075.5`, "maxDescriptors"},
		{"few descriptors", `"maxDescriptors": 0`, `"maxDescriptors": 20`, "maxDescriptors"},
		{"few bytes", `"maxBodyBytesInFlight": 0`, `"maxBodyBytesInFlight": 100`, "maxBodyBytesInFlight"},
		{"fewer bytes than a submission", `"maxBodyBytesInFlight": 0`, `"maxBodyBytesInFlight": 262143`, "maxBodyBytesInFlight"},
		{"few connections", `"maxConnections": 0`, `"maxConnections": 3`, "maxConnections"},
		{"fewer bytes than a job", `"maxJobBytes": 0`, `"maxJobBytes": 8388607`, "maxJobBytes"},
		{"short time", `"bodyTimeout": "10s"`, `"bodyTimeout": "1ms"`, "bodyTimeout"},
		{"table without a port", `"127.0.0.1:8500"`, `"127.0.0.1"`, "table"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, err := LoadDispatcher(editedExample(t, "dispatcher.jsonc", tc.old, tc.new))
			var settingErr *Error
			must.ErrorAs[*Error](t, err, &settingErr)
			must.EqOp(t, tc.field, settingErr.Field)
		})
	}
	_, err := LoadExecutor(editedExample(t, "executor.jsonc", `"127.0.0.3:8490"`, `"127.0.0.3"`))
	var settingErr *Error
	must.ErrorAs[*Error](t, err, &settingErr)
	must.EqOp(t, "minion", settingErr.Field)
}

// TestJobBytes guards against a memory for jobs that is not that of the machine.
func TestJobBytes(t *testing.T) {
	for _, tc := range []struct {
		memoryMB float64
		set      int64
		want     int64
	}{{0, 0, 32_000_000}, {144, 0, 18_000_000}, {32, 0, minJobBytes}, {4000, 0, maxDefaultJobBytes}, {144, 9 << 20, 9 << 20}} {
		loaded := DispatcherSettings{InstanceSettings: InstanceSettings{ClientLimits: ClientLimits{MemoryMB: tc.memoryMB}}, MaxJobBytes: tc.set}
		must.EqOp(t, tc.want, loaded.JobBytes())
	}
}

// TestClientLimits guards against a memory that is not a whole number and is rejected, or
// lost, against a report that can never be received, and against more connections than the
// process may open files.
func TestClientLimits(t *testing.T) {
	loaded, err := LoadExecutor(editedExample(t, "executor.jsonc", `"memoryMB": 0`, `"memoryMB": 144.5`))
	must.NoError(t, err)
	must.EqOp(t, 36_125_000, loaded.Limits().Bytes)
	_, err = LoadExecutor(editedExample(t, "executor.jsonc", `"maxBodyBytesInFlight": 0`, `"maxBodyBytesInFlight": 4194303`))
	must.Error(t, err)
	impossible := ClientLimits{MaxDescriptors: 500, MaxConnections: 500}
	var settingErr *Error
	must.ErrorAs[*Error](t, impossible.check(minReportBytes), &settingErr)
	must.EqOp(t, "maxConnections", settingErr.Field)
}
