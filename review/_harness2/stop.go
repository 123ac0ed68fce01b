package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/figring/figring/platform/standin"
)

func init() { cases["stop"] = playStop }

const (
	// callersPerEntry clients have their home at each entry. Each sends a job every
	// callerPeriod on a channel that it keeps open: 50 jobs a second for each entry.
	callersPerEntry = 500
	callerPeriod    = 10 * time.Second
	// resendAfter is retransmit_ms of the pages.
	resendAfter = 1300 * time.Millisecond
	// readTime and transactionTime are how long the platform's store takes to answer.
	readTime        = 4 * time.Millisecond
	transactionTime = 8 * time.Millisecond
)

// balancer decides which entries get new channels, as the pages say: it asks each one for
// its readiness once a second, and after two misses the entry gets none until it is ready.
type balancer struct {
	cluster *cluster
	mu      sync.Mutex
	misses  []int
}

func (b *balancer) run() {
	client := &http.Client{Timeout: time.Second}
	for !b.cluster.over() {
		for i := range b.cluster.zones {
			response, err := client.Get("http://" + b.cluster.address(10+i, 3) + "/-/ready")
			ready := err == nil && response.StatusCode == http.StatusOK
			if err == nil {
				_ = response.Body.Close()
			}
			b.mu.Lock()
			if ready {
				b.misses[i] = 0
			} else {
				b.misses[i]++
			}
			b.mu.Unlock()
		}
		time.Sleep(time.Second)
	}
}

// choose returns the entry for a new channel of a client with that home.
func (b *balancer) choose(home int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	for k := range b.misses {
		if entry := (home + k) % len(b.misses); b.misses[entry] < 2 {
			return entry
		}
	}
	return home
}

// sentJob is a job that a client has sent once and the end of the channel without an answer.
type sentJob struct {
	id          string
	entry       int
	sent, ended time.Time
}

type callers struct {
	cluster  *cluster
	balancer *balancer
	number   atomic.Int64
	answered atomic.Int64

	mu  sync.Mutex
	cut []sentJob
}

func (c *callers) run(home int, phase time.Duration, until time.Time) {
	entry := home
	transport := &http.Transport{
		MaxIdleConns: 1, MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			entry = c.balancer.choose(home)
			return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", c.cluster.address(10+entry, 1))
		},
	}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 5 * time.Second}
	time.Sleep(phase)
	for time.Now().Before(until) {
		next := time.Now().Add(callerPeriod)
		id := jobID(int(c.number.Add(1)))
		for range 3 {
			if c.send(client, id, &entry) {
				break
			}
			time.Sleep(resendAfter)
		}
		time.Sleep(time.Until(next))
	}
}

// send sends a job and reports whether it was answered, and not with a 502 or 504.
func (c *callers) send(client *http.Client, id string, entry *int) bool {
	text, _ := json.Marshal(standin.Spec{WorkMillis: 900, MilliCPU: 1500})
	body, _ := json.Marshal(map[string]any{
		"spec": string(text), "best_effort": true, "steps": []step{{Count: 1, CPU: 1500, MemMB: 64, Estimate: 900}},
	})
	request, err := http.NewRequest(http.MethodPost, "http://"+host+prefix+id, bytes.NewReader(body))
	if err != nil {
		return true
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", "3000")
	sent := time.Now()
	response, err := client.Do(request)
	if err == nil {
		_, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	ended := time.Now()
	if err != nil {
		c.cluster.record.noteAt(sent, "SENT   POST %s to %s", id, entryName(*entry))
		c.cluster.record.noteAt(ended, "ENDED  POST %s at %s: the channel ended without an answer: %v", id, entryName(*entry), err)
		c.mu.Lock()
		c.cut = append(c.cut, sentJob{id, *entry, sent, ended})
		c.mu.Unlock()
		return false
	}
	c.answered.Add(1)
	return response.StatusCode != http.StatusBadGateway && response.StatusCode != http.StatusGatewayTimeout
}

// slowTable answers after the time that the users' store takes.
func slowTable(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(readTime)
		if strings.HasSuffix(r.URL.Path, "rows-tx") {
			time.Sleep(transactionTime)
		}
		next.ServeHTTP(w, r)
	})
}

// playStop stops the entries in turn with SIGTERM, with trouble, while clients send
// jobs that need not be kept on channels that they keep open. A kept job has run before.
func playStop(r *record, trouble bool) int {
	c, err := newCluster(r, zoneNames, fleet(-1))
	if err != nil {
		r.note("%v", err)
		return failed
	}
	defer c.end()
	c.wrapTable = slowTable
	if err := c.start(manifestOf(1)); err != nil {
		r.note("%v", err)
		return failed
	}
	if err := c.awaitReady(15 * time.Second); err != nil {
		r.note("%v", err)
		return failed
	}
	time.Sleep(4 * time.Second)
	client := newClients(c)
	keep := func(number int) {
		for i := range c.zones {
			client.submit(fmt.Sprintf("%016x", 0x2bcdef0000000000+number*16+i), i, jobBody(standin.Spec{WorkMillis: 50, MilliCPU: 1000}, step{Count: 1, CPU: 1000, MemMB: 16, Estimate: 50}))
		}
	}
	balancer := &balancer{cluster: c, misses: make([]int, len(c.zones))}
	go balancer.run()
	load := &callers{cluster: c, balancer: balancer}
	var wait sync.WaitGroup
	until := time.Now().Add(45 * time.Second)
	for home := range c.zones {
		for i := range callersPerEntry {
			wait.Go(func() { load.run(home, callerPeriod*time.Duration(i)/callersPerEntry, until) })
		}
	}
	time.Sleep(callerPeriod)
	type stop struct {
		entry int
		at    time.Time
	}
	var stops []stop
	for entry := range c.zones {
		keep(entry)
		time.Sleep(time.Second)
		if trouble {
			stops = append(stops, stop{entry, time.Now()})
			c.signal(entryName(entry), syscall.SIGTERM)
		}
		time.Sleep(9 * time.Second)
	}
	wait.Wait()
	r.note("%d jobs were sent, %d answers came, and %d runs were started", load.number.Load(), load.answered.Load(), len(c.ledger.Entries()))
	lost := 0
	for _, job := range load.cut {
		for _, run := range c.ledger.Entries() {
			if !strings.HasPrefix(run.Task, job.id) {
				continue
			}
			r.run(run)
			if run.Started.Before(job.sent) || run.Started.After(job.ended) {
				continue
			}
			for _, one := range stops {
				if one.entry == job.entry && job.sent.After(one.at) && job.ended.Before(one.at.Add((graceSeconds+1)*time.Second)) {
					lost++
					r.note("job %s was sent to %s %.3f s after its SIGTERM, was passed on to %s after %.3f s, and its channel ended after %.3f s without an answer",
						job.id, entryName(job.entry), job.sent.Sub(one.at).Seconds(), run.Minion, run.Started.Sub(job.sent).Seconds(), job.ended.Sub(job.sent).Seconds())
				}
			}
		}
	}
	if load.answered.Load() == 0 {
		return failed
	}
	if lost > 0 {
		return broken
	}
	return held
}
