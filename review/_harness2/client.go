package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/figring/figring/platform/standin"
)

// step is a step of a job, in the words of the users' pages.
type step struct {
	Count    int     `json:"count"`
	CPU      int64   `json:"cpu"`
	MemMB    int64   `json:"mem_mb,omitempty"`
	Estimate float64 `json:"est_ms"`
	After    []int   `json:"after,omitempty"`
	Label    string  `json:"required_label,omitempty"`
}

// jobBody returns the body of a job that has to be kept.
func jobBody(spec standin.Spec, steps ...step) []byte {
	text, _ := json.Marshal(spec)
	body, _ := json.Marshal(map[string]any{"spec": string(text), "steps": steps})
	return body
}

// clients call the entries.
type clients struct {
	cluster *cluster
	http    *http.Client
}

func newClients(c *cluster) *clients {
	return &clients{cluster: c, http: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// call sends a request to an entry. Status 0 means that no answer came.
func (c *clients) call(method, id string, entry int, body []byte) (int, string) {
	request, err := http.NewRequest(method, "http://"+c.cluster.address(10+entry, 1)+prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", "1500")
	sent := time.Now()
	c.cluster.record.noteAt(sent, "SENT   %s %s to %s", method, id, entryName(entry))
	response, err := c.http.Do(request)
	if err != nil {
		c.cluster.record.note("ANSWER %s %s from %s: none", method, id, entryName(entry))
		return 0, ""
	}
	defer response.Body.Close()
	raw, _ := io.ReadAll(response.Body)
	c.cluster.record.note("ANSWER %s %s from %s: %d %s", method, id, entryName(entry), response.StatusCode, bytes.TrimSpace(raw))
	return response.StatusCode, string(raw)
}

// submit hands a job in and reports whether it was accepted. As the pages say, it is sent
// again after no answer, a 502 or a 504.
func (c *clients) submit(id string, entry int, body []byte) bool {
	for range 8 {
		status, _ := c.call(http.MethodPost, id, entry, body)
		switch {
		case status >= 200 && status < 300:
			return true
		case status != 0 && status != 502 && status != 504:
			return false
		}
		time.Sleep(300 * time.Millisecond)
		entry = (entry + 1) % len(c.cluster.zones)
	}
	return false
}

// state returns the state of a job; "" if it can't be read.
func (c *clients) state(id string, entry int) (string, int) {
	status, raw := c.call(http.MethodGet, id, entry, nil)
	var decoded struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(raw), &decoded) != nil {
		return "", status
	}
	return decoded.State, status
}

func jobID(number int) string { return fmt.Sprintf("%016x", 0x5c0e7a21d9400000+number) }
