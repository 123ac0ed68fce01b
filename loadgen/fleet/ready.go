package fleet

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/figring/figring/entry"
	"github.com/figring/figring/wire"
)

// awaitReady waits until every entry is ready and knows every sidecar.
func (f *Fleet) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyLimit)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if f.ready(ctx) {
			return nil
		}
		time.Sleep(readyPoll)
	}
	return Error.New("the entries don't know all sidecars after %s", readyLimit)
}

func (f *Fleet) ready(ctx context.Context) bool {
	for _, process := range f.Entries {
		var status entry.Status
		if f.get(ctx, process.URL("status")+"/status", &status) != nil || !status.Ready {
			return false
		}
		if readyTargets(&status) < len(f.Settings.Workers) {
			return false
		}
	}
	return true
}

func readyTargets(status *entry.Status) int {
	count := 0
	for _, target := range status.Owner.Targets {
		if target.State == string(wire.TargetReady) && target.Open {
			count++
		}
	}
	return count
}

// get reads a JSON document.
func (f *Fleet) get(ctx context.Context, url string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Error.Wrap(err)
	}
	response, err := f.http.Do(request)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Error.New("%s answered %d", url, response.StatusCode)
	}
	return Error.Wrap(json.NewDecoder(response.Body).Decode(into))
}
