package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/figring/figring/common/identity"
	"github.com/figring/figring/decision/bundle"
	"github.com/figring/figring/model"
	"github.com/figring/figring/rollout"
	"github.com/figring/figring/store/remote"
)

const (
	// secret is shared by the processes of a fleet.
	secret = "secret-of-a-measured-run"
	// The two operators of a fleet.
	firstOperator  = "anna"
	secondOperator = "bert"
	// readyLimit bounds the time until every entry knows every sidecar.
	readyLimit = 30 * time.Second
	readyPoll  = 50 * time.Millisecond
	// requestTimeout bounds a request of the tool's own.
	requestTimeout = 20 * time.Second
	settingsMode   = 0o600
)

// Fleet is a running system.
type Fleet struct {
	Settings Settings
	Platform *Process
	Entries  []*Process
	Sidecars []*Process
	Minions  []*Process
	http     *http.Client
}

// Start starts the processes and waits until every entry is ready and knows
// every sidecar. The caller must call Stop, also after an error.
func Start(ctx context.Context, settings Settings) (*Fleet, error) {
	f := &Fleet{Settings: settings, http: &http.Client{Timeout: requestTimeout}}
	if settings.Processes() > MaxProcesses {
		return f, Error.New("%d processes: at most %d are started", settings.Processes(), MaxProcesses)
	}
	if err := f.start(ctx); err != nil {
		return f, err
	}
	return f, f.awaitReady(ctx)
}

func (f *Fleet) start(ctx context.Context) (err error) {
	f.Platform, err = startProcess("platform", f.Settings.Binary, "standin-platform", "--listen", "127.0.0.1:0")
	if err != nil {
		return err
	}
	if err := f.rollOut(ctx); err != nil {
		return err
	}
	for i := range f.Settings.Entries {
		if err := f.startEntry(i); err != nil {
			return err
		}
	}
	for i := range f.Settings.Workers {
		if err := f.startWorker(i); err != nil {
			return err
		}
	}
	return nil
}

// rollOut puts the bundle with the callers in force.
func (f *Fleet) rollOut(ctx context.Context) error {
	table := remote.New(f.Platform.URL("address"), 0).Table()
	editor := rollout.NewEditor(table, rollout.EditorOptions{Rules: bundle.Rules{Zones: f.Settings.Zones}})
	first := model.Bundle{Limits: f.Settings.Limits}
	for _, caller := range f.Settings.Callers {
		caller.TokenHash = identity.Hash(Token(caller.Name))
		first.Callers = append(first.Callers, caller)
	}
	proposal, err := editor.Propose(ctx, firstOperator, 0, first)
	if err != nil {
		return Error.Wrap(err)
	}
	if _, err := editor.SignOff(ctx, secondOperator, proposal.ID); err != nil {
		return Error.Wrap(err)
	}
	_, err = editor.RollOut(ctx, firstOperator, proposal.ID)
	return Error.Wrap(err)
}

func (f *Fleet) startEntry(index int) error {
	name := fmt.Sprintf("entry-%d", index+1)
	values := map[string]any{
		"name": name, "region": "munich", "zone": f.Settings.Zones[index%len(f.Settings.Zones)], "zones": f.Settings.Zones,
		"callersListen": "127.0.0.1:0", "operatorsListen": "127.0.0.1:0",
		"rpcListen": "127.0.0.1:0", "statusListen": "127.0.0.1:0",
		"platformURL": f.Platform.URL("address"), "secret": secret, "readyDelay": "50ms",
		"operators": []map[string]string{
			{"name": firstOperator, "tokenHash": identity.Hash(Token(firstOperator))},
			{"name": secondOperator, "tokenHash": identity.Hash(Token(secondOperator))},
		},
	}
	if f.Settings.Routing != "" {
		values["routing"] = f.Settings.Routing
	}
	if f.Settings.ClaimMode != "" {
		values["claimMode"] = f.Settings.ClaimMode
	}
	path, err := f.write(name, values)
	if err != nil {
		return err
	}
	started, err := startProcess(name, f.Settings.Binary, "entry", "--settings", path)
	if err != nil {
		return err
	}
	f.Entries = append(f.Entries, started)
	return nil
}

func (f *Fleet) startWorker(index int) error {
	worker := f.Settings.Workers[index]
	name := fmt.Sprintf("sidecar-%d", index+1)
	workerName := WorkerName(index)
	path, err := f.write(name, map[string]any{
		"name": name, "zone": worker.Zone, "rack": worker.Rack, "worker": workerName,
		"rpcListen": "127.0.0.1:0", "announceListen": "127.0.0.1:0", "statusListen": "127.0.0.1:0",
		"platformURL": f.Platform.URL("address"), "secret": secret,
	})
	if err != nil {
		return err
	}
	sidecar, err := startProcess(name, f.Settings.Binary, "sidecar", "--settings", path)
	if err != nil {
		return err
	}
	f.Sidecars = append(f.Sidecars, sidecar)
	minion, err := startProcess("minion-"+workerName, f.Settings.Binary, minionArgs(worker, workerName, sidecar.URL("announce"))...)
	if err != nil {
		return err
	}
	f.Minions = append(f.Minions, minion)
	return nil
}

func minionArgs(worker Worker, name, announce string) []string {
	args := []string{
		"standin-minion", "--listen", "127.0.0.1:0", "--control-listen", "127.0.0.1:0",
		"--name", "minion-" + name, "--worker", name, "--zone", worker.Zone,
		"--slots", fmt.Sprint(worker.Slots), "--connections", fmt.Sprint(worker.Connections),
		"--speed", fmt.Sprint(worker.Speed), "--delay", worker.Delay.String(), "--announce", announce,
	}
	if worker.FailEverything {
		args = append(args, "--fail-everything")
	}
	return args
}

func (f *Fleet) write(name string, values map[string]any) (string, error) {
	content, err := json.Marshal(values)
	if err != nil {
		return "", Error.Wrap(err)
	}
	path := filepath.Join(f.Settings.Dir, name+".jsonc")
	return path, Error.Wrap(os.WriteFile(path, content, settingsMode))
}

// CallerURLs returns the base URLs of the entries' interfaces to callers.
func (f *Fleet) CallerURLs() []string {
	var urls []string
	for _, entry := range f.Entries {
		urls = append(urls, entry.URL("callers"))
	}
	return urls
}

// Stop stops every process: the roles in order, then the stand-ins.
func (f *Fleet) Stop() {
	for _, group := range [][]*Process{f.Entries, f.Minions, f.Sidecars, {f.Platform}} {
		stopAll(group)
	}
	f.http.CloseIdleConnections()
}

func stopAll(group []*Process) {
	var stopping sync.WaitGroup
	for _, process := range group {
		if process != nil {
			stopping.Go(process.stop)
		}
	}
	stopping.Wait()
}
