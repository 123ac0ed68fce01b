package fleet

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
)

// SetFaults switches the faults of the platform's stand-in; see package fault
// for the fields of the JSON object.
func (f *Fleet) SetFaults(ctx context.Context, faults string) error {
	response, err := f.askPlatform(ctx, http.MethodPut, "/control/faults", faults)
	if err != nil {
		return err
	}
	return Error.Wrap(response.Body.Close())
}

// platformCounts reads the counts of requests to the platform.
func (f *Fleet) platformCounts(ctx context.Context) (PlatformCounts, error) {
	var counts PlatformCounts
	response, err := f.askPlatform(ctx, http.MethodGet, "/control/counters", "")
	if err != nil {
		return counts, err
	}
	defer func() { _ = response.Body.Close() }()
	return counts, Error.Wrap(json.NewDecoder(response.Body).Decode(&counts))
}

func (f *Fleet) askPlatform(ctx context.Context, method, path, body string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, f.Platform.URL("address")+path, strings.NewReader(body))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	response, err := f.http.Do(request)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, Error.New("%s answered %d", path, response.StatusCode)
	}
	return response, nil
}
