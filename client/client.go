package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/figring/figring/api"
)

const (
	// maxAnswerBytes bounds the answer that the client reads.
	maxAnswerBytes = 256 << 20
	// firstPause and maxPause bound the pauses between resubmissions for which
	// the interface named no time.
	firstPause = 50 * time.Millisecond
	maxPause   = 2 * time.Second
	// idleConnections is kept open to each entry.
	idleConnections = 256
)

// Options configures a client.
type Options struct {
	// BaseURLs are the entries, or the balancer before them. The client goes to
	// the next one after a lost answer.
	BaseURLs []string
	Token    string
	// HTTP is nil for a client with the defaults.
	HTTP *http.Client
}

// Client submits work. It is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client
	next    atomic.Uint64
}

// New returns a client. It needs at least one base URL.
func New(options Options) (*Client, error) {
	if len(options.BaseURLs) == 0 {
		return nil, errors.New("client: no base URL")
	}
	httpClient := options.HTTP
	if httpClient == nil {
		transport := http.DefaultTransport.(*http.Transport).Clone()
		transport.MaxIdleConns = 0
		transport.MaxIdleConnsPerHost = idleConnections
		httpClient = &http.Client{Transport: transport}
	}
	return &Client{options: options, http: httpClient}, nil
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// SubmitOnce submits the job a single time at the next entry. The error is a
// *Problem, or wraps ErrTransport.
func (c *Client) SubmitOnce(ctx context.Context, job *api.JobRequest) (*api.JobResponse, error) {
	return c.do(ctx, http.MethodPost, "/v1/jobs", job)
}

// Submit submits the job and resubmits it with the same key after lost answers
// and refusals that name a time to come back, until ctx ends.
func (c *Client) Submit(ctx context.Context, job *api.JobRequest) (*api.JobResponse, error) {
	pause := firstPause
	for {
		answer, err := c.SubmitOnce(ctx, job)
		wait, again := comeBack(err, pause)
		if !again {
			return answer, err
		}
		pause = min(2*pause, maxPause)
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(wait):
		}
	}
}

// comeBack says whether and after what time a resubmission is of use.
func comeBack(err error, pause time.Duration) (time.Duration, bool) {
	if err == nil {
		return 0, false
	}
	var told *Problem
	if errors.As(err, &told) {
		return time.Duration(told.RetryAfterMs) * time.Millisecond, told.Retryable()
	}
	return pause, errors.Is(err, ErrTransport)
}

// Request runs a single request a single time.
func (c *Client) Request(ctx context.Context, request *api.SingleRequest) (*api.JobResponse, error) {
	return c.do(ctx, http.MethodPost, "/v1/requests", request)
}

// Show returns the state of a job; with a wait it holds until the job ended.
func (c *Client) Show(ctx context.Context, key string, wait time.Duration) (*api.JobResponse, error) {
	return c.do(ctx, http.MethodGet, fmt.Sprintf("/v1/jobs/%s?wait=%d", key, wait.Milliseconds()), nil)
}

// Cancel cancels a job and returns its answer or a *Problem.
func (c *Client) Cancel(ctx context.Context, key string) (*api.JobResponse, error) {
	return c.do(ctx, http.MethodDelete, "/v1/jobs/"+key, nil)
}

func (c *Client) do(ctx context.Context, method, path string, body any) (*api.JobResponse, error) {
	request, err := c.request(ctx, method, path, body)
	if err != nil {
		return nil, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrTransport, err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrTransport, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, problemOf(response.StatusCode, content)
	}
	var answer api.JobResponse
	if err := json.Unmarshal(content, &answer); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrTransport, err)
	}
	return &answer, nil
}

func (c *Client) request(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		content, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		reader = bytes.NewReader(content)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL()+path, reader)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+c.options.Token)
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

func (c *Client) baseURL() string {
	index := (c.next.Add(1) - 1) % uint64(len(c.options.BaseURLs))
	return strings.TrimSuffix(c.options.BaseURLs[index], "/")
}

// problemOf reads a problem body. A body that is none, such as a balancer's
// own error page, is a lost answer.
func problemOf(status int, content []byte) error {
	var told Problem
	if err := json.Unmarshal(content, &told); err != nil || told.Code == "" {
		return fmt.Errorf("%w: status %d without a problem body", ErrTransport, status)
	}
	told.Status = status
	return &told
}
