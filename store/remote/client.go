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

// The bounds of the connections to the platform.
const (
	dialTimeout = 1 * time.Second
	idleTimeout = 90 * time.Second
	// maxIdle is the number of connections kept open between requests.
	maxIdle = 256
	// defaultTimeout bounds a request whose context has no earlier end.
	defaultTimeout = 10 * time.Second
)

// errNoReply is the cause of a reply that is cut off or not of the protocol.
var errNoReply = errors.New("no valid reply")

// Client holds the connections to one platform. It is safe for concurrent use.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
}

// New returns a client of the platform at base, such as
// "http://127.0.0.1:7000". A timeout of zero stands for 10 s.
func New(base string, timeout time.Duration) *Client {
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:        maxIdle,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Client{
		base:    base,
		http:    &http.Client{Transport: transport, CheckRedirect: noRedirect},
		timeout: timeout,
	}
}

// noRedirect hands a redirection back as a reply, so that a write is never
// sent a second time.
func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Table returns the table service of the platform.
func (c *Client) Table() *Table {
	return &Table{client: c}
}

// Objects returns the object store of the platform.
func (c *Client) Objects() *Objects {
	return &Objects{client: c}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// read sends a request that has no effect.
func (c *Client) read(ctx context.Context, path string, request, reply any) error {
	return c.call(ctx, path, request, reply, store.ErrUnavailable)
}

// write sends a request that may have an effect.
func (c *Client) write(ctx context.Context, path string, request, reply any) error {
	return c.call(ctx, path, request, reply, store.ErrUnknownOutcome)
}

// call sends one request. An error after the request may have been sent wraps
// lost, unless the reply says more.
func (c *Client) call(ctx context.Context, path string, request, reply any, lost error) error {
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
		return fmt.Errorf("%s: %v: %w", path, err, lost)
	}
	defer response.Body.Close()
	if err := receive(response, reply, lost); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// send sends the request, and sets sent as soon as a connection was handed to
// it, which is before its first byte can be written.
func (c *Client) send(ctx context.Context, path string, body []byte, sent *atomic.Bool) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return c.http.Do(request)
}

// receive reads the reply. A reply that is not whole wraps lost.
func receive(response *http.Response, reply any, lost error) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, protocol.MaxBodyBytes+1))
	if err != nil {
		return fmt.Errorf("%v: %w", err, lost)
	}
	if len(body) > protocol.MaxBodyBytes {
		return fmt.Errorf("reply is larger than %d bytes: %w", protocol.MaxBodyBytes, lost)
	}
	if response.StatusCode != http.StatusOK {
		return refused(response.StatusCode, body, lost)
	}
	if err := json.Unmarshal(body, reply); err != nil {
		return fmt.Errorf("%v: %v: %w", errNoReply, err, lost)
	}
	return nil
}

func refused(status int, body []byte, lost error) error {
	var failure protocol.Failure
	if err := json.Unmarshal(body, &failure); err != nil {
		return fmt.Errorf("%v: status %d: %w", errNoReply, status, lost)
	}
	kind := failure.Err(status)
	if kind == nil {
		return fmt.Errorf("%v: status %d, code %q: %w", errNoReply, status, failure.Code, lost)
	}
	return fmt.Errorf("%s: %w", failure.Detail, kind)
}
