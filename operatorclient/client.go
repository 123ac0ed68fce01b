package operatorclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/figring/figring/common/jsonrequest"
)

const (
	// maxResponseBytes limits the response body that the client reads.
	maxResponseBytes = 64 << 20
	// requestTimeout limits the duration of one HTTP request.
	requestTimeout = 30 * time.Second
)

// Client calls the operator API of the first entry that responds.
type Client struct {
	bases []string
	token string
	http  *http.Client
}

// New returns a client of the operator APIs at the base URLs, such as
// "http://127.0.0.1:8081". They are tried in order.
func New(bases []string, token string) *Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	return &Client{
		bases: bases,
		token: token,
		http:  &http.Client{Transport: transport, Timeout: requestTimeout},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// do sends body, unless it is nil, and decodes the response into into. The error
// is a *Problem or wraps ErrTransport. After a transport error, do tries the next
// entry only where that can't apply a change twice: for a GET, or when nothing
// was sent.
func (c *Client) do(ctx context.Context, method, path string, body, into any) error {
	err := fmt.Errorf("%w: no operator API address was given", ErrTransport)
	for _, base := range c.bases {
		err = c.send(ctx, method, strings.TrimSuffix(base, "/")+path, body, into)
		if !errors.Is(err, ErrTransport) || (method != http.MethodGet && !notSent(err)) {
			return err
		}
	}
	return err
}

// notSent reports whether a request failed while connecting, before any of it was
// sent.
func notSent(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}

func (c *Client) send(ctx context.Context, method, url string, body, into any) error {
	request, err := jsonrequest.New(ctx, method, url, c.token, body)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrTransport, err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrTransport, err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return responseError(response.StatusCode, content)
	}
	if err := json.Unmarshal(content, into); err != nil {
		return fmt.Errorf("%w: %w", ErrTransport, err)
	}
	return nil
}

func responseError(status int, content []byte) error {
	var refusal Problem
	if err := json.Unmarshal(content, &refusal.Details); err != nil || refusal.Code == "" {
		return fmt.Errorf("%w: status %d without a problem body", ErrTransport, status)
	}
	return &refusal
}
