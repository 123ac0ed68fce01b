package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/api"
	"github.com/figring/figring/client"
	"github.com/figring/figring/model"
)

// attempt is one submission of a key and what came back.
type attempt struct {
	entry    string
	sent     time.Time
	answered time.Time
	answer   *api.JobResponse
	err      error
}

// jobRecord is what a caller knows of one key.
type jobRecord struct {
	tasks    int
	attempts []attempt
}

// caller submits jobs and keeps a record of every answer, for the judge.
type caller struct {
	t       testing.TB
	cluster *cluster
	http    *http.Client

	mu      sync.Mutex
	records map[string]*jobRecord
}

func newCaller(c *cluster) *caller {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConnsPerHost = 256
	c.t.Cleanup(transport.CloseIdleConnections)
	return &caller{t: c.t, cluster: c, http: &http.Client{Transport: transport}, records: make(map[string]*jobRecord)}
}

// newJob returns a job whose tasks each answer a text of their own.
func (l *caller) newJob(tasks, runMs int) *api.JobRequest {
	key := model.NewJobKey(deskCaller).ID.String()
	job := &api.JobRequest{Key: key, TimeoutMs: 20_000}
	for index := range tasks {
		job.Tasks = append(job.Tasks, api.TaskRequest{Class: "eligibility", Payload: payloadOf(key, index, runMs)})
	}
	return job
}

func payloadOf(key string, index, runMs int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"runMs":%d,"output":%q}`, runMs, outputOf(key, index)))
}

// outputOf is the text that the minion answers for a task.
func outputOf(key string, index int) string {
	return fmt.Sprintf("output of %s/%d", key, index)
}

// at returns a client of one entry.
func (l *caller) at(entry *process) *client.Client {
	one, err := client.New(client.Options{
		BaseURLs: []string{"http://" + entry.addresses["callers"]},
		Token:    deskToken,
		HTTP:     l.http,
	})
	must.NoError(l.t, err)
	return one
}

// submit submits once at an entry and records what came back.
func (l *caller) submit(ctx context.Context, entry *process, job *api.JobRequest) (*api.JobResponse, error) {
	begun := l.begin(job, entry)
	answer, err := l.at(entry).SubmitOnce(ctx, job)
	l.end(job.Key, begun, answer, err)
	return answer, err
}

func (l *caller) begin(job *api.JobRequest, entry *process) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	record, known := l.records[job.Key]
	if !known {
		record = &jobRecord{tasks: len(job.Tasks)}
		l.records[job.Key] = record
	}
	record.attempts = append(record.attempts, attempt{entry: entry.name, sent: time.Now()})
	return len(record.attempts) - 1
}

func (l *caller) end(key string, index int, answer *api.JobResponse, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	one := &l.records[key].attempts[index]
	one.answered = time.Now()
	one.answer = answer
	one.err = err
}

// submitUntil resubmits at one entry after the other until the job has its
// final answer or the limit is over.
func (l *caller) submitUntil(job *api.JobRequest, limit time.Duration, pick func() *process) (*api.JobResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for {
		answer, err := l.submit(ctx, pick(), job)
		if err == nil || lasting(err) || ctx.Err() != nil {
			return answer, err
		}
		time.Sleep(resubmitPause)
	}
}

// lasting reports whether the error names no time to come back.
func lasting(err error) bool {
	told := problemIn(err)
	return told != nil && told.RetryAfterMs == 0
}

// resubmitPause is the pause of a caller between two submissions of a key.
const resubmitPause = 100 * time.Millisecond

// keys lists the recorded keys.
func (l *caller) keys() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var keys []string
	for key := range l.records {
		keys = append(keys, key)
	}
	return keys
}

// contextFor returns a context of the test that ends after limit.
func contextFor(t testing.TB, limit time.Duration) (context.Context, context.CancelFunc) {
	t.Helper()
	return context.WithTimeout(t.Context(), limit)
}
