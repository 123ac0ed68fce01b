package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/decision/bundle"
	"github.com/figring/figring/model"
)

const examplesDir = "../examples/settings"

var testRules = bundle.Rules{Zones: []string{"schwabing", "maxvorstadt", "garching"}}

func TestExamplesLoad(t *testing.T) {
	entry, err := LoadEntry(filepath.Join(examplesDir, "entry.jsonc"))
	must.NoError(t, err)
	must.EqOp(t, "127.0.0.1:8082", entry.RPCAdvertise)
	must.EqOp(t, 6*time.Minute, entry.ShutdownTimeout.Std())
	sidecar, err := LoadSidecar(filepath.Join(examplesDir, "sidecar.jsonc"))
	must.NoError(t, err)
	must.EqOp(t, 8, sidecar.QueueCapacity)
	loaded, err := LoadBundle(filepath.Join(examplesDir, "bundle.jsonc"), testRules)
	must.NoError(t, err)
	must.EqOp(t, "nomination-desk", loaded.Callers[0].Name)
}

// TestExamplesMatchDefaults checks that the example files hold the defaults, as
// their comments say.
func TestExamplesMatchDefaults(t *testing.T) {
	entry, err := LoadEntry(filepath.Join(examplesDir, "entry.jsonc"))
	must.NoError(t, err)
	defaults := DefaultEntry()
	must.EqOp(t, defaults.ReadyDelay, entry.ReadyDelay)
	must.EqOp(t, defaults.MaxBodyBytes, entry.MaxBodyBytes)
	must.EqOp(t, defaults.Routing, entry.Routing)
	sidecar, err := LoadSidecar(filepath.Join(examplesDir, "sidecar.jsonc"))
	must.NoError(t, err)
	must.EqOp(t, DefaultSidecar().ResultBytes, sidecar.ResultBytes)
	must.EqOp(t, DefaultSidecar().RecordLimit, sidecar.RecordLimit)
}

// editedExample writes a copy of an example with the first occurrence of old
// replaced by new and returns its path.
func editedExample(t *testing.T, example, old, new string) string {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(examplesDir, example))
	must.NoError(t, err)
	must.StrContains(t, string(raw), old)
	path := filepath.Join(t.TempDir(), example)
	must.NoError(t, os.WriteFile(path, []byte(strings.Replace(string(raw), old, new, 1)), 0o600))
	return path
}

func TestInvalidEntrySettings(t *testing.T) {
	cases := []struct {
		name, old, new, field, reason string
	}{
		{"unknown setting", `"region"`, `"regoin"`, "regoin", "unknown setting"},
		{"wrong case", `"region"`, `"Region"`, "Region", "unknown setting"},
		{"unknown nested", `{"name": "anna",`, `{"name": "anna", "role": "x",`, "operators[0].role", "unknown setting"},
		{"number for string", `"entry-1"`, `1`, "name", "type string"},
		{"null", `"entry-1"`, `null`, "name", "type string"},
		{"fraction", `16777216`, `1.5`, "maxBodyBytes", "type int64"},
		{"too small", `16777216`, `10`, "maxBodyBytes", "at least 1024"},
		{"duration without unit", `"6m"`, `"6"`, "shutdownTimeout", "not a duration"},
		{"duration as number", `"6m"`, `30`, "shutdownTimeout", "want a string"},
		{"long shutdown timeout", `"6m"`, `"2h"`, "shutdownTimeout", "1s to 1h"},
		{"ready delay over shutdown timeout", `"2s"`, `"7m"`, "readyDelay", "less than shutdownTimeout"},
		{"negative delay", `"2s"`, `"-2s"`, "readyDelay", "at least 0s"},
		{"listener without IP", `"127.0.0.1:8080"`, `":8080"`, "callersListen", "IP address"},
		{"duplicate listener", `"127.0.0.1:8080"`, `"127.0.0.1:8081"`, "operatorsListen", "already used by callersListen"},
		{"listener under 0.0.0.0", `"127.0.0.1:8083"`, `"127.0.0.1:8082"`, "statusListen", "already used by rpcListen"},
		{"no address to dial", `"rpcAdvertise": "127.0.0.1:8082",`, ``, "rpcAdvertise", "must be set"},
		{"unspecified address", `"rpcAdvertise": "127.0.0.1:8082"`, `"rpcAdvertise": "0.0.0.0:8082"`, "rpcAdvertise", "other processes can dial"},
		{"unknown mode", `"grouped",`, `"group",`, "claimMode", "grouped row"},
		{"unknown routing", `"routing": "expected"`, `"routing": "best"`, "routing", "least_outstanding"},
		{"zone of another region", `"zone": "schwabing"`, `"zone": "tt-south-a"`, "zone", "one of zones"},
		{"duplicate zone", `"garching"]`, `"schwabing"]`, "zones", "duplicate item"},
		{"duplicate operator", `"bert"`, `"anna"`, "operators", "duplicate item"},
		{"short secret", `"replace-this-secret"`, `"short"`, "secret", "at least 16"},
		{"two secrets", `"secret":`, `"secretFile": "x", "secret":`, "secret", "either"},
		{"no secret file", `"secret": "replace-this-secret"`, `"secretFile": "none"`, "secretFile", "no such file"},
		{"no certificate", `"tls": {`, `"tls": {"rpc": {"certFile": "a", "keyFile": "b"},`, "tls.rpc", "no such file"},
		{"key alone", `"tls": {`, `"tls": {"rpc": {"keyFile": "b"},`, "tls.rpc.certFile", "must be set"},
		{"truncated", "\"maxBodyBytes\": 16777216,\n}", ``, "", "EOF"},
		{"trailing data", "\"maxBodyBytes\": 16777216,\n}", `"maxBodyBytes": 16777216} {}`, "", "after"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			path := editedExample(t, "entry.jsonc", tc.old, tc.new)
			_, err := LoadEntry(path)
			var settingErr *Error
			must.ErrorAs[*Error](t, err, &settingErr)
			must.EqOp(t, path, settingErr.File)
			must.EqOp(t, tc.field, settingErr.Field)
			must.StrContains(t, settingErr.Reason, tc.reason)
		})
	}
}

func TestInvalidSidecarSettings(t *testing.T) {
	cases := []struct{ name, old, new, field string }{
		{"duplicate listener", `"127.0.0.1:8184"`, `"127.0.0.1:8182"`, "announceListen"},
		{"no entries", `"entriesPerSidecar": 3`, `"entriesPerSidecar": 0`, "entriesPerSidecar"},
		{"slash in name", `"sidecar-1"`, `"side/car"`, "name"},
		{"listener of an entry", `"tls": {}`, `"tls": {"callers": {}}`, "tls.callers"},
		{"few records", `100000`, `10`, "recordLimit"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, err := LoadSidecar(editedExample(t, "sidecar.jsonc", tc.old, tc.new))
			var settingErr *Error
			must.ErrorAs[*Error](t, err, &settingErr)
			must.EqOp(t, tc.field, settingErr.Field)
		})
	}
}

func TestInvalidBundle(t *testing.T) {
	cases := []struct{ name, old, new, field string }{
		{"unknown zone", `"closedZones": []`, `"closedZones": ["x"]`, "closedZones[0]"},
		{"weight", `"weight": 2`, `"weight": 2000`, "callers[0].weight"},
		{"share", `"ejectionShare": 0`, `"ejectionShare": 101`, "limits.ejectionShare"},
		{"negative version", `"version": 0`, `"version": -1`, "version"},
		{"unknown setting", `"burst"`, `"bursts"`, "callers[0].bursts"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, err := LoadBundle(editedExample(t, "bundle.jsonc", tc.old, tc.new), testRules)
			var settingErr *Error
			must.ErrorAs[*Error](t, err, &settingErr)
			must.EqOp(t, tc.field, settingErr.Field)
		})
	}
}

func TestSecretFileIsRelativeToSettingsFile(t *testing.T) {
	path := editedExample(t, "entry.jsonc", `"secret": "replace-this-secret"`, `"secretFile": "secret.txt"`)
	secret := filepath.Join(filepath.Dir(path), "secret.txt")
	must.NoError(t, os.WriteFile(secret, []byte("a-secret-from-a-file\n"), 0o600))
	loaded, err := LoadEntry(path)
	must.NoError(t, err)
	must.EqOp(t, "a-secret-from-a-file", loaded.Secret)
}

// FuzzDecode checks that no input panics and that every error is an *Error.
func FuzzDecode(f *testing.F) {
	for _, example := range []string{"entry.jsonc", "sidecar.jsonc", "bundle.jsonc"} {
		raw, err := os.ReadFile(filepath.Join(examplesDir, example))
		must.NoError(f, err)
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		entry, sidecar := DefaultEntry(), DefaultSidecar()
		for _, target := range []any{&entry, &sidecar, &model.Bundle{}} {
			if err := decode(raw, target); err != nil {
				var settingErr *Error
				must.ErrorAs[*Error](t, err, &settingErr)
			}
		}
	})
}
