package exampletasks

// maxNominations is how often a candidate may have been nominated before.
const maxNominations = 2

// eligibility asks whether a candidate may be proposed.
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

func (e eligibility) known() bool { return e.Candidate != "" }

func (e eligibility) result() any {
	reason := e.obstacle()
	return eligibilityResult{Candidate: e.Candidate, Eligible: reason == "", Reason: reason}
}

func (e eligibility) obstacle() string {
	switch {
	case e.HoldsSameDegree:
		return "holds the same degree"
	case e.MemberOfUniversity:
		return "is a member of the university"
	case e.EarlierNominations > maxNominations:
		return "was nominated too often"
	}
	return ""
}
