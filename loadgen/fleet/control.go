package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/figring/figring/minion"
)

// SetControl changes how the minion of a worker behaves.
func (f *Fleet) SetControl(ctx context.Context, worker int, control minion.Control) error {
	body, err := json.Marshal(control)
	if err != nil {
		return Error.Wrap(err)
	}
	url := f.Minions[worker].URL("address") + "/control"
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
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
	return nil
}
