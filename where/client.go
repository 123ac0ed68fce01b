package where

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
)

// maxReplyBytes bounds a reply that is read.
const maxReplyBytes = 8 << 20

// Ask sends the request to the status listener at the address and returns the reply as it
// is. It returns ErrInvalid, ErrNoRoute, ErrNotOffered or Error.
func Ask(ctx context.Context, address string, request *Request) ([]byte, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, ErrInvalid.Wrap(err)
	}
	asked, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+Path, bytes.NewReader(body))
	if err != nil {
		return nil, ErrInvalid.Wrap(err)
	}
	asked.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(asked)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return raw, replyError(response, raw)
}

// replyError returns the error that a reply reports.
func replyError(response *http.Response, raw []byte) error {
	if response.StatusCode == http.StatusOK {
		return nil
	}
	var reported errorBody
	known := json.Unmarshal(raw, &reported) == nil && reported.Error != ""
	switch {
	case !known && (response.StatusCode == http.StatusNotFound || response.StatusCode == http.StatusMethodNotAllowed):
		return ErrNotOffered
	case !known:
		return Error.New("the dispatcher answered %s", response.Status)
	case response.StatusCode == http.StatusNotFound:
		return ErrNoRoute.Wrap(errors.New(reported.Error))
	case response.StatusCode == http.StatusBadRequest, response.StatusCode == http.StatusRequestEntityTooLarge:
		return ErrInvalid.Wrap(errors.New(reported.Error))
	}
	return Error.New("the dispatcher answered %s: %s", response.Status, reported.Error)
}
