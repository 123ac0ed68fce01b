package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/figring/figring/minion"
)

// Ledger returns every start that the minions recorded.
func (f *Fleet) Ledger(ctx context.Context) ([]minion.Start, error) {
	var all []minion.Start
	for _, process := range f.Minions {
		starts, err := f.ledgerOf(ctx, process)
		if err != nil {
			return nil, err
		}
		all = append(all, starts...)
	}
	return all, nil
}

func (f *Fleet) ledgerOf(ctx context.Context, process *Process) ([]minion.Start, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, process.URL("address")+"/ledger", nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	response, err := f.http.Do(request)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	var starts []minion.Start
	lines := json.NewDecoder(response.Body)
	for {
		var start minion.Start
		if err := lines.Decode(&start); errors.Is(err, io.EOF) {
			return starts, nil
		} else if err != nil {
			return nil, Error.Wrap(err)
		}
		starts = append(starts, start)
	}
}
