package remote

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/figring/figring/store"
	"github.com/figring/figring/store/protocol"
)

// The limits of the connections to the platform.
const (
	dialTimeout = 1 * time.Second
	idleTimeout = 90 * time.Second
	// maxIdleConns is the maximum number of idle connections kept open.
	maxIdleConns = 256
	// defaultTimeout is the timeout of a request of a client without an explicit
	// timeout. An earlier deadline of the context takes precedence.
	defaultTimeout = 10 * time.Second
)

// errInvalidReply means that a reply does not conform to the protocol, for example
// because it is truncated or comes from a proxy.
var errInvalidReply = errors.New("invalid reply")

// Client manages the connections to one platform. It is safe for concurrent use.
type Client struct {
	baseURL string
	http    *http.Client
	timeout time.Duration
}

// New returns a client of the platform at baseURL, for example
// "http://127.0.0.1:7000". timeout applies to each request; if it is not positive,
// the timeout is 10 s.
func New(baseURL string, timeout time.Duration) *Client {
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Client{
		baseURL: baseURL,
		http:    &http.Client{Transport: transport, CheckRedirect: returnRedirect},
		timeout: timeout,
	}
}

// returnRedirect makes the HTTP client return a redirect response instead of
// following it, so that a write is never sent twice.
func returnRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Table returns a store.Table that uses the connections of c.
func (c *Client) Table() *Table {
	return &Table{client: c}
}

// Objects returns a store.Objects that uses the connections of c.
func (c *Client) Objects() *Objects {
	return &Objects{client: c}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// read sends a request that changes nothing. Without a valid reply it fails with
// ErrUnavailable.
func (c *Client) read(ctx context.Context, path string, request, reply any) error {
	return c.call(ctx, path, request, reply, store.ErrUnavailable)
}

// write sends a request that may change data. Without a valid reply it fails with
// ErrUnknownOutcome.
func (c *Client) write(ctx context.Context, path string, request, reply any) error {
	return c.call(ctx, path, request, reply, store.ErrUnknownOutcome)
}

// call sends one request and decodes its reply. If the request may have been sent
// and there is no valid reply, the error wraps noReplyErr.
func (c *Client) call(ctx context.Context, path string, request, reply any, noReplyErr error) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%s: not sent: %w", path, err)
	}
	body, err := json.Marshal(request)
	if err != nil {
		return fmt.Errorf("%s: %v: %w", path, err, store.ErrInvalid)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var sent atomic.Bool
	response, err := c.send(ctx, path, body, &sent)
	if err != nil && !sent.Load() {
		return fmt.Errorf("%s: not sent: %v: %w", path, err, store.ErrUnavailable)
	}
	if err != nil {
		return fmt.Errorf("%s: %v: %w", path, err, noReplyErr)
	}
	defer response.Body.Close()
	if err := readReply(response, reply, noReplyErr); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// send sends the request. It sets sent as soon as the request has obtained a
// connection, which is before the first byte can be written.
func (c *Client) send(ctx context.Context, path string, body []byte, sent *atomic.Bool) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return c.http.Do(request)
}

// readReply decodes the reply. If the reply is incomplete or invalid, the error
// wraps noReplyErr.
func readReply(response *http.Response, reply any, noReplyErr error) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, protocol.MaxBodyBytes+1))
	if err != nil {
		return fmt.Errorf("%v: %w", err, noReplyErr)
	}
	if len(body) > protocol.MaxBodyBytes {
		return fmt.Errorf("reply is larger than %d bytes: %w", protocol.MaxBodyBytes, noReplyErr)
	}
	if response.StatusCode != http.StatusOK {
		return errorReply(response.StatusCode, body, noReplyErr)
	}
	if err := json.Unmarshal(body, reply); err != nil {
		return fmt.Errorf("%v: %v: %w", errInvalidReply, err, noReplyErr)
	}
	return nil
}

// errorReply returns the error for a reply with a status other than 200. If the
// reply does not conform to the protocol, the error wraps noReplyErr.
func errorReply(status int, body []byte, noReplyErr error) error {
	var failure protocol.Failure
	if err := json.Unmarshal(body, &failure); err != nil {
		return fmt.Errorf("%v: status %d: %w", errInvalidReply, status, noReplyErr)
	}
	storeErr := failure.Err(status)
	if storeErr == nil {
		return fmt.Errorf("%v: status %d, code %q: %w", errInvalidReply, status, failure.Code, noReplyErr)
	}
	return fmt.Errorf("%s: %w", failure.Detail, storeErr)
}
