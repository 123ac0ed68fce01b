package client

import (
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
	"github.com/figring/figring/common/jsonrequest"
)

const (
	// maxResponseBytes limits the response body that the client reads.
	maxResponseBytes = 256 << 20
	// initialBackoff and maxBackoff are the first and the longest delay before a
	// resubmission when the server gave no delay.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// maxIdleConnsPerHost is the number of idle connections kept open to each entry.
	maxIdleConnsPerHost = 256
)

// Options configures a client.
type Options struct {
	// BaseURLs are the URLs of the entries, or of the load balancer in front of
	// them. Each request goes to the next URL in turn, so that a resubmission
	// reaches another entry.
	BaseURLs []string
	Token    string
	// HTTP is the HTTP client to use; nil means a client with default settings.
	HTTP *http.Client
}

// Client submits jobs and single requests. It is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client
	next    atomic.Uint64
}

// New returns a client. The options must contain at least one base URL.
func New(options Options) (*Client, error) {
	if len(options.BaseURLs) == 0 {
		return nil, errors.New("client: no base URL")
	}
	httpClient := options.HTTP
	if httpClient == nil {
		transport := http.DefaultTransport.(*http.Transport).Clone()
		transport.MaxIdleConns = 0
		transport.MaxIdleConnsPerHost = maxIdleConnsPerHost
		httpClient = &http.Client{Transport: transport}
	}
	return &Client{options: options, http: httpClient}, nil
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// SubmitOnce submits the job once, to the next entry, without retries. When the
// request was sent, the error is a *Problem or wraps ErrTransport.
func (c *Client) SubmitOnce(ctx context.Context, job *api.JobRequest) (*api.JobResponse, error) {
	return c.do(ctx, http.MethodPost, "/v1/jobs", job)
}

// Submit submits the job, and resubmits it with the same key after transport errors
// and after refusals with a retry delay, until ctx is done.
func (c *Client) Submit(ctx context.Context, job *api.JobRequest) (*api.JobResponse, error) {
	backoff := initialBackoff
	for {
		answer, err := c.SubmitOnce(ctx, job)
		delay, retry := retryDelay(err, backoff)
		if !retry {
			return answer, err
		}
		backoff = min(2*backoff, maxBackoff)
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(delay):
		}
	}
}

// retryDelay reports whether the job should be resubmitted, and after what delay.
func retryDelay(err error, backoff time.Duration) (time.Duration, bool) {
	if err == nil {
		return 0, false
	}
	var problem *Problem
	if errors.As(err, &problem) {
		return time.Duration(problem.RetryAfterMs) * time.Millisecond, problem.Retryable()
	}
	return backoff, errors.Is(err, ErrTransport)
}

// Request submits a single request once, without retries.
func (c *Client) Request(ctx context.Context, request *api.SingleRequest) (*api.JobResponse, error) {
	return c.do(ctx, http.MethodPost, "/v1/requests", request)
}

// Show returns the state of a job. With a positive wait, the server delays the
// response until the job has ended or the wait is over.
func (c *Client) Show(ctx context.Context, key string, wait time.Duration) (*api.JobResponse, error) {
	return c.do(ctx, http.MethodGet, fmt.Sprintf("/v1/jobs/%s?wait=%d", key, wait.Milliseconds()), nil)
}

// Cancel cancels a job and returns its answer or a *Problem.
func (c *Client) Cancel(ctx context.Context, key string) (*api.JobResponse, error) {
	return c.do(ctx, http.MethodDelete, "/v1/jobs/"+key, nil)
}

func (c *Client) do(ctx context.Context, method, path string, body any) (*api.JobResponse, error) {
	request, err := jsonrequest.New(ctx, method, c.baseURL()+path, c.options.Token, body)
	if err != nil {
		return nil, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrTransport, err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrTransport, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, parseProblem(response.StatusCode, content)
	}
	var answer api.JobResponse
	if err := json.Unmarshal(content, &answer); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrTransport, err)
	}
	return &answer, nil
}

func (c *Client) baseURL() string {
	index := (c.next.Add(1) - 1) % uint64(len(c.options.BaseURLs))
	return strings.TrimSuffix(c.options.BaseURLs[index], "/")
}

// parseProblem parses a problem body. Any other body, such as the error page of a
// load balancer, is a transport error.
func parseProblem(status int, content []byte) error {
	var problem Problem
	if err := json.Unmarshal(content, &problem); err != nil || problem.Code == "" {
		return fmt.Errorf("%w: status %d without a problem body", ErrTransport, status)
	}
	problem.Status = status
	return &problem
}
