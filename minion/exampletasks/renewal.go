package exampletasks

// renewal asks whether a subscription is paid for the next issue.
type renewal struct {
	Subscription string `json:"subscription"`
	NextIssue    int    `json:"nextIssue"`
	PaidUntil    int    `json:"paidUntilIssue"`
}

type renewalResult struct {
	Subscription string `json:"subscription"`
	Renewed      bool   `json:"renewed"`
	IssuesLeft   int    `json:"issuesLeft"`
}

func (r renewal) valid() bool { return r.Subscription != "" }

func (r renewal) result() any {
	left := max(0, r.PaidUntil-r.NextIssue+1)
	return renewalResult{Subscription: r.Subscription, Renewed: left > 0, IssuesLeft: left}
}
