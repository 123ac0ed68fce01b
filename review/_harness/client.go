package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// clientTimeout is how long clients wait for a response, as in the tables of SYSTEM.md.
const clientTimeout = 1500 * time.Millisecond

// client is a stand-in for the clients of one zone; all its requests go to one entry.
type client struct {
	cluster *cluster
	http    *http.Client
}

func newClient(c *cluster) *client {
	return &client{c, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// call sends a request to an entry. Status 0 means that there was no answer in time.
func (c *client) call(entry int, method, path string, body any) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	var content io.Reader
	if body != nil {
		encoded, _ := json.Marshal(body)
		content = strings.NewReader(string(encoded))
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.cluster.address(entryHost+entry, frontPort)+path, content)
	if err != nil {
		return 0, nil
	}
	request.Host = host
	request.Header.Set("Deadline-Ms", fmt.Sprint(clientTimeout.Milliseconds()))
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, raw
}

// state asks for the state of a job; "" if there is none in the answer.
func (c *client) state(entry int, path string) (int, string) {
	status, raw := c.call(entry, http.MethodGet, path, nil)
	var body struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(raw, &body)
	return status, body.State
}

// newJobID returns a job ID.
func newJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// step is a step of a job as it is submitted.
type step struct {
	Count    int   `json:"count"`
	MilliCPU int   `json:"cpu"`
	MemMB    int   `json:"mem_mb"`
	Estimate int   `json:"est_ms,omitempty"`
	After    []int `json:"after,omitempty"`
	GPU      int   `json:"gpu,omitempty"`
}

// jobBody is the body of a submission.
type jobBody struct {
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
}

func specOf(plan taskPlan) string {
	encoded, _ := json.Marshal(plan)
	return string(encoded)
}

// sentJob is a job that a client has submitted.
type sentJob struct {
	id, prefix string
	entry      int
	body       jobBody
	acceptedAt time.Time
}

func (j *sentJob) path() string { return j.prefix + j.id }

// jobs are the accepted jobs of a case.
type jobs struct {
	mu       sync.Mutex
	accepted []*sentJob
	sent     int
	answers  map[int]int
}

func newJobs() *jobs { return &jobs{answers: make(map[int]int)} }

// submit submits a job at an entry. It returns the job if it was accepted, otherwise nil.
func (j *jobs) submit(c *client, entry int, prefix string, body jobBody) *sentJob {
	job := &sentJob{id: newJobID(), prefix: prefix, entry: entry, body: body}
	status, _ := c.call(entry, http.MethodPost, job.path(), body)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.sent++
	j.answers[status]++
	if status/100 != 2 {
		return nil
	}
	job.acceptedAt = time.Now()
	j.accepted = append(j.accepted, job)
	return job
}

// list returns the accepted jobs.
func (j *jobs) list() []*sentJob {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]*sentJob(nil), j.accepted...)
}

func (j *jobs) sayTotals(r *record) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.say("jobs submitted: %d, accepted: %d, answers by status (0: none in time): %v", j.sent, len(j.accepted), j.answers)
}
