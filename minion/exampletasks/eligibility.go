package exampletasks

// maxEarlierNominations is the number of earlier nominations that a candidate may
// have.
const maxEarlierNominations = 2

// eligibility asks whether a candidate may be nominated.
type eligibility struct {
	Candidate          string `json:"candidate"`
	EarlierNominations int    `json:"earlierNominations"`
	HoldsSameDegree    bool   `json:"holdsSameDegree"`
	MemberOfUniversity bool   `json:"memberOfTheUniversity"`
}

type eligibilityResult struct {
	Candidate string `json:"candidate"`
	Eligible  bool   `json:"eligible"`
	Reason    string `json:"reason,omitempty"`
}

func (e eligibility) valid() bool { return e.Candidate != "" }

func (e eligibility) result() any {
	reason := e.ineligibilityReason()
	return eligibilityResult{Candidate: e.Candidate, Eligible: reason == "", Reason: reason}
}

// ineligibilityReason returns why the candidate is not eligible, or "".
func (e eligibility) ineligibilityReason() string {
	switch {
	case e.HoldsSameDegree:
		return "holds the same degree"
	case e.MemberOfUniversity:
		return "is a member of the university"
	case e.EarlierNominations > maxEarlierNominations:
		return "was nominated too often"
	}
	return ""
}
