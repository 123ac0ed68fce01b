// Package jsonrequest builds the HTTP requests of the clients of the caller and the
// operator API.
package jsonrequest

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
)

// New returns a request with the bearer token. body is sent as JSON; nil means that the
// request has none.
func New(ctx context.Context, method, url, token string, body any) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		content, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		reader = bytes.NewReader(content)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+token)
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}
