package exampletasks

// gift asks to enroll a gift subscription for a number of issues.
type gift struct {
	Subscription string `json:"subscription"`
	FirstIssue   int    `json:"firstIssue"`
	Issues       int    `json:"issues"`
}

type giftResult struct {
	Subscription string `json:"subscription"`
	Enrolled     bool   `json:"enrolled"`
	LastIssue    int    `json:"lastIssue,omitempty"`
}

func (g gift) valid() bool { return g.Subscription != "" }

func (g gift) result() any {
	if g.Issues < 1 {
		return giftResult{Subscription: g.Subscription}
	}
	return giftResult{Subscription: g.Subscription, Enrolled: true, LastIssue: g.FirstIssue + g.Issues - 1}
}
