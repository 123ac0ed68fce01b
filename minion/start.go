package minion

// Start is one line of the ledger: a task that was started. A ledger file has
// a line for the start and a second one with the same Incarnation and ID for
// the end.
type Start struct {
	// Incarnation is the time at which the minion was started, in unix
	// nanoseconds. ID numbers its starts from 1.
	Incarnation int64  `json:"incarnation"`
	ID          int64  `json:"id"`
	Job         string `json:"job"`
	Task        int    `json:"task"`
	Attempt     int    `json:"attempt"`
	Class       string `json:"class"`
	Minion      string `json:"minion"`
	Worker      string `json:"worker"`
	Zone        string `json:"zone"`
	// StartNs and EndNs are unix times in nanoseconds; EndNs is 0 while the
	// task runs.
	StartNs int64 `json:"startNs"`
	EndNs   int64 `json:"endNs"`
	// Status is the status answered; 0 while the task runs.
	Status int `json:"status"`
}
