package minion

// Start is the ledger entry of a task that was started. A ledger file has one
// line for the start of the task and a second line, with the same Incarnation and
// ID, for its end.
type Start struct {
	// Incarnation identifies the run of the minion: its start time in Unix
	// nanoseconds. IDs count the task starts of an incarnation from 1.
	Incarnation int64  `json:"incarnation"`
	ID          int64  `json:"id"`
	Job         string `json:"job"`
	Task        int    `json:"task"`
	Attempt     int    `json:"attempt"`
	Class       string `json:"class"`
	Minion      string `json:"minion"`
	Worker      string `json:"worker"`
	Zone        string `json:"zone"`
	// StartNs and EndNs are Unix times in nanoseconds; EndNs is 0 while the
	// task runs.
	StartNs int64 `json:"startNs"`
	EndNs   int64 `json:"endNs"`
	// Status is the HTTP status of the response; 0 while the task runs.
	Status int `json:"status"`
}
