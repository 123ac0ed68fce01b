package where

import (
	"bytes"
	"encoding/json"
	"path"
	"time"

	"github.com/figring/figring/decision/heldjob"
	"github.com/figring/figring/platform/front"
	"github.com/figring/figring/work"
)

// Path is the path of the interface on the status listener.
const Path = "/where"

const (
	// defaultMilliCPU and defaultEstimate are of the only task of a job that is not given.
	defaultMilliCPU = 1000
	defaultEstimate = 100 * time.Millisecond
)

// Request asks where a job would be placed.
type Request struct {
	Host string `json:"host"`
	Path string `json:"path"`
	// Job is the body of a submission; a job of one task if absent.
	Job json.RawMessage `json:"job,omitempty"`
}

// decodeRequest returns the submission that the body of a request describes.
func decodeRequest(raw []byte) (heldjob.Submission, error) {
	var request Request
	if err := json.Unmarshal(raw, &request); err != nil {
		return heldjob.Submission{}, err
	}
	if request.Host == "" || request.Path == "" {
		return heldjob.Submission{}, errNoHostOrPath
	}
	job, err := request.decodeJob()
	return heldjob.Submission{Host: request.Host, Path: request.Path, Job: job}, err
}

func (r *Request) decodeJob() (work.Job, error) {
	id := path.Base(r.Path)
	if len(r.Job) == 0 || bytes.Equal(r.Job, []byte("null")) {
		return work.Job{ID: work.JobID(id), BestEffort: true, Steps: []work.Step{{
			Count: 1, Need: work.Resources{MilliCPU: defaultMilliCPU}, Estimate: defaultEstimate,
		}}}, nil
	}
	return front.DecodeJob(id, r.Job)
}
