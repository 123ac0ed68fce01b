package fleet

import (
	"context"
	"net/http"
	"time"
)

// CloseZone takes a zone out through the operators' interface and returns the
// time at which that was asked for, which is before it was accepted.
func (f *Fleet) CloseZone(ctx context.Context, zone string) (time.Time, error) {
	return f.operate(ctx, "/v1/zones/"+zone+"/close")
}

// OpenZone takes a zone back in.
func (f *Fleet) OpenZone(ctx context.Context, zone string) (time.Time, error) {
	return f.operate(ctx, "/v1/zones/"+zone+"/open")
}

func (f *Fleet) operate(ctx context.Context, path string) (time.Time, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.Entries[0].URL("operators")+path, nil)
	if err != nil {
		return time.Time{}, Error.Wrap(err)
	}
	request.Header.Set("Authorization", "Bearer "+Token(firstOperator))
	asked := time.Now()
	response, err := f.http.Do(request)
	if err != nil {
		return time.Time{}, Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		return time.Time{}, Error.New("%s answered %d", path, response.StatusCode)
	}
	return asked, nil
}
