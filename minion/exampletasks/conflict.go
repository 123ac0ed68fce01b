package exampletasks

import "slices"

// conflict asks whether a reviewer and a candidate belong to the same body.
type conflict struct {
	Candidate       string   `json:"candidate"`
	Reviewer        string   `json:"reviewer"`
	CandidateBodies []string `json:"candidateBodies"`
	ReviewerBodies  []string `json:"reviewerBodies"`
}

type conflictResult struct {
	Candidate string   `json:"candidate"`
	Reviewer  string   `json:"reviewer"`
	Conflict  bool     `json:"conflict"`
	Shared    []string `json:"shared,omitempty"`
}

func (c conflict) valid() bool { return c.Candidate != "" && c.Reviewer != "" }

func (c conflict) result() any {
	var shared []string
	for _, body := range c.CandidateBodies {
		if slices.Contains(c.ReviewerBodies, body) {
			shared = append(shared, body)
		}
	}
	return conflictResult{Candidate: c.Candidate, Reviewer: c.Reviewer, Conflict: len(shared) > 0, Shared: shared}
}
