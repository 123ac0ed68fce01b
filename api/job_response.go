package api

import (
	"encoding/json"

	"github.com/figring/figring/model"
)

// JobState is the state of a job as reported to its caller.
type JobState string

// The states of a job.
const (
	JobRunning  JobState = "running"
	JobComplete JobState = "complete"
	JobFailed   JobState = "failed"
)

// JobResponse is the body of a response about a job. That of a complete job has
// one result for each task, in the order of the tasks; any other has none.
type JobResponse struct {
	Key     string         `json:"key"`
	State   JobState       `json:"state"`
	Outcome model.Outcome  `json:"outcome"`
	Results []TaskResponse `json:"results,omitempty"`
	Code    model.Code     `json:"code,omitempty"`
	Detail  string         `json:"detail,omitempty"`
}

// TaskResponse is the result of one task. Exactly one of Body and BodyBase64
// is set: Body when the minion returned a valid JSON value.
type TaskResponse struct {
	Index      int             `json:"index"`
	Status     int             `json:"status"`
	Body       json.RawMessage `json:"body,omitempty"`
	BodyBase64 []byte          `json:"bodyBase64,omitempty"`
	RunMs      float64         `json:"runMs"`
	Worker     string          `json:"worker,omitempty"`
}

// NewJobResponse returns the response for the answer of an ended job.
func NewJobResponse(answer *model.Answer) JobResponse {
	response := JobResponse{
		Key:     answer.Key.ID.String(),
		State:   JobState(answer.State),
		Outcome: answer.Outcome,
		Code:    answer.Code,
		Detail:  answer.Detail,
	}
	for _, result := range answer.Results {
		response.Results = append(response.Results, newTaskResponse(result))
	}
	return response
}

func newTaskResponse(result model.TaskResult) TaskResponse {
	response := TaskResponse{
		Index:  result.Index,
		Status: result.Status,
		RunMs:  float64(result.RunTime.Microseconds()) / 1000,
		Worker: result.Worker,
	}
	if json.Valid(result.Body) {
		response.Body = json.RawMessage(result.Body)
	} else {
		response.BodyBase64 = result.Body
	}
	return response
}
