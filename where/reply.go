package where

import (
	"time"

	"github.com/figring/figring/decision/classload"
	"github.com/figring/figring/decision/heldjob"
	"github.com/figring/figring/decision/placement"
)

// Reply says what would become of a job. All times are in milliseconds.
type Reply struct {
	Route    string `json:"route"`
	Service  string `json:"service"`
	Priority int    `json:"priority"`
	Stored   bool   `json:"stored"`
	// Verdict is admitted or an outcome of heldjob; Reason says why the job is not admitted.
	Verdict      string  `json:"verdict"`
	Reason       string  `json:"reason,omitempty"`
	RetryAfterMS float64 `json:"retry_after_ms,omitempty"`
	Shed         bool    `json:"shed"`
	Settling     bool    `json:"settling"`
	Targets      int     `json:"targets"`

	Admission Admission `json:"admission"`
	TaskCount int       `json:"task_count"`
	Tasks     []Task    `json:"tasks"`
}

// Admission has the inputs of admission control.
type Admission struct {
	SlackMS          float64 `json:"slack_ms"`
	MaxWaitMS        float64 `json:"max_wait_ms"`
	WaitFactor       float64 `json:"wait_factor"`
	ExpectedWaitMS   float64 `json:"expected_wait_ms"`
	OldestStateAgeMS float64 `json:"oldest_state_age_ms"`
	// ClassLoad is absent if the class of the job has no order among others.
	ClassLoad *ClassLoad `json:"class_load,omitempty"`
}

// ClassLoad is the load of a class, in thousandths of a core.
type ClassLoad struct {
	Demand   float64 `json:"demand_millicpu"`
	Given    float64 `json:"given_millicpu"`
	Own      float64 `json:"own_millicpu"`
	Usable   float64 `json:"usable_millicpu"`
	Scarce   bool    `json:"scarce"`
	Fallback bool    `json:"fallback"`
	AgeMS    float64 `json:"age_ms"`
}

// Task says where a task would be placed.
type Task struct {
	Step  int `json:"step"`
	Index int `json:"index"`
	// Sidecar is the best one, empty if all are ruled out. Placed is false if the wait there
	// is too long.
	Sidecar    string      `json:"sidecar"`
	Placed     bool        `json:"placed"`
	WaitMS     float64     `json:"wait_ms"`
	Candidates []Candidate `json:"candidates,omitempty"`
}

// Candidate is a sidecar that was compared for a task.
type Candidate struct {
	Sidecar    string  `json:"sidecar"`
	Zone       string  `json:"zone"`
	StateAgeMS float64 `json:"state_age_ms"`
	// Excluded is why the sidecar is ruled out; the fields below are then 0.
	Excluded string  `json:"excluded,omitempty"`
	WaitMS   float64 `json:"wait_ms"`
	// RunTimeMS is 0 unless run times are estimated.
	RunTimeMS float64            `json:"run_time_ms,omitempty"`
	CostMS    float64            `json:"cost_ms"`
	CostsMS   map[string]float64 `json:"costs_ms,omitempty"`
}

func newReply(explained *heldjob.Explanation) Reply {
	reply := Reply{
		Route: explained.Route.Name, Service: explained.Route.Service, Priority: explained.Route.Priority,
		Stored: explained.Stored, Verdict: explained.Verdict(), Reason: string(explained.Answer.Reason),
		RetryAfterMS: milliseconds(explained.Answer.RetryAfter), Shed: explained.Shed,
		Settling: explained.Settling, Targets: explained.Targets,
		Admission: Admission{
			SlackMS: milliseconds(explained.Slack), MaxWaitMS: milliseconds(explained.MaxWait),
			WaitFactor: explained.WaitFactor, ExpectedWaitMS: milliseconds(explained.Wait),
			OldestStateAgeMS: milliseconds(explained.Age), ClassLoad: newClassLoad(explained.Class),
		},
		TaskCount: explained.TaskCount, Tasks: []Task{},
	}
	for i := range explained.Tasks {
		reply.Tasks = append(reply.Tasks, newTask(&explained.Tasks[i]))
	}
	return reply
}

func newClassLoad(view *classload.View) *ClassLoad {
	if view == nil {
		return nil
	}
	return &ClassLoad{
		Demand: view.Demand, Given: view.Given, Own: view.Own, Usable: view.Usable,
		Scarce: view.Scarce, Fallback: view.Fallback, AgeMS: milliseconds(view.Age),
	}
}

func newTask(explained *heldjob.ExplainedTask) Task {
	task := Task{
		Step: explained.Task.Step, Index: explained.Task.Index,
		Sidecar: explained.Sidecar, Placed: explained.Placed, WaitMS: milliseconds(explained.Wait),
	}
	for i := range explained.Candidates {
		task.Candidates = append(task.Candidates, newCandidate(&explained.Candidates[i]))
	}
	return task
}

func newCandidate(explained *heldjob.ExplainedCandidate) Candidate {
	assessed := &explained.Assessment
	candidate := Candidate{
		Sidecar: explained.Sidecar, Zone: explained.Zone, StateAgeMS: milliseconds(explained.Age),
		Excluded: string(assessed.Exclusion),
	}
	if assessed.Exclusion == placement.NotExcluded {
		candidate.WaitMS = milliseconds(assessed.Wait)
		candidate.RunTimeMS = milliseconds(assessed.RunTime)
		candidate.CostMS = milliseconds(assessed.Costs.Total())
		candidate.CostsMS = costParts(&assessed.Costs)
	}
	return candidate
}

// costParts returns the parts of a cost that are not 0.
func costParts(costs *placement.Costs) map[string]float64 {
	parts := make(map[string]float64)
	for name, part := range map[string]time.Duration{
		"wait": costs.Wait, "run": costs.Run, "zone": costs.Zone, "rack": costs.Rack, "together": costs.Together,
		"utilization": costs.Utilization, "jitter": costs.Jitter, "late": costs.Late, "avoided": costs.Avoided,
		"failure": costs.Failure, "interference": costs.Interference,
	} {
		if part != 0 {
			parts[name] = milliseconds(part)
		}
	}
	return parts
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}
