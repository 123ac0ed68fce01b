package api

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/figring/figring/model"
)

// JobRequest is the body of POST /v1/jobs.
type JobRequest struct {
	// Key is a UUID of version 7. The caller generates it for the first attempt
	// and sends it unchanged with every resubmission.
	Key string `json:"key"`
	// Idempotent declares that running a task more than once is harmless.
	Idempotent bool `json:"idempotent,omitempty"`
	// TimeoutMs bounds the time to the answer; 0 means DefaultTimeout.
	TimeoutMs int64 `json:"timeoutMs,omitempty"`
	// Tasks has 1 to model.MaxTasksPerJob elements.
	Tasks []TaskRequest `json:"tasks"`
}

// TaskRequest is one task of a job.
type TaskRequest struct {
	Class string `json:"class"`
	// Payload is any JSON value; the minion receives its bytes unchanged.
	Payload       json.RawMessage `json:"payload,omitempty"`
	DeclaredRunMs int64           `json:"declaredRunMs,omitempty"`
	DeclaredSize  int64           `json:"declaredSizeBytes,omitempty"`
}

// Spec validates the request and returns the job that it describes, with a key
// of caller. A refusal has the code CodeInvalid and names the invalid field.
func (r *JobRequest) Spec(caller string) (model.JobSpec, *model.Refusal) {
	key, err := model.ParseJobKey(caller, r.Key)
	if err != nil {
		return model.JobSpec{}, invalid("key: %v", err)
	}
	if len(r.Tasks) == 0 {
		return model.JobSpec{}, invalid("tasks: a job has at least one task")
	}
	if len(r.Tasks) > model.MaxTasksPerJob {
		return model.JobSpec{}, invalid("tasks: %d tasks, at most %d are allowed", len(r.Tasks), model.MaxTasksPerJob)
	}
	timeout, refusal := parseTimeout(r.TimeoutMs)
	if refusal != nil {
		return model.JobSpec{}, refusal
	}
	spec := model.JobSpec{Key: key, Idempotent: r.Idempotent, Timeout: timeout}
	for index := range r.Tasks {
		task, refusal := r.Tasks[index].spec(index)
		if refusal != nil {
			return model.JobSpec{}, refusal
		}
		spec.Tasks = append(spec.Tasks, task)
	}
	return spec, nil
}

func (t *TaskRequest) spec(index int) (model.TaskSpec, *model.Refusal) {
	switch {
	case t.Class == "":
		return model.TaskSpec{}, invalid("tasks[%d].class: must not be empty", index)
	case len(t.Class) > MaxClassLength:
		return model.TaskSpec{}, invalid("tasks[%d].class: longer than %d bytes", index, MaxClassLength)
	case len(t.Payload) > MaxPayloadBytes:
		return model.TaskSpec{}, invalid("tasks[%d].payload: longer than %d bytes", index, MaxPayloadBytes)
	case t.DeclaredRunMs < 0 || t.DeclaredRunMs > MaxDeclaredRun.Milliseconds():
		return model.TaskSpec{}, invalid("tasks[%d].declaredRunMs: must be 0 to %d", index, MaxDeclaredRun.Milliseconds())
	case t.DeclaredSize < 0 || t.DeclaredSize > MaxDeclaredSize:
		return model.TaskSpec{}, invalid("tasks[%d].declaredSizeBytes: must be 0 to %d", index, int64(MaxDeclaredSize))
	}
	return model.TaskSpec{
		Class:        t.Class,
		Payload:      bytes.Clone(t.Payload),
		DeclaredRun:  time.Duration(t.DeclaredRunMs) * time.Millisecond,
		DeclaredSize: t.DeclaredSize,
	}, nil
}

func parseTimeout(millis int64) (time.Duration, *model.Refusal) {
	if millis == 0 {
		return DefaultTimeout, nil
	}
	if millis < 0 || millis > MaxTimeout.Milliseconds() {
		return 0, invalid("timeoutMs: must be 1 to %d, or 0 for the default", MaxTimeout.Milliseconds())
	}
	return time.Duration(millis) * time.Millisecond, nil
}

func invalid(format string, args ...any) *model.Refusal {
	return model.NewRefusal(model.CodeInvalid, 0, format, args...)
}
