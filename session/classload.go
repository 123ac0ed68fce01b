package session

// ClassLoad is the rate of work offered by class, in thousandths of a core. Its keys are
// the priorities of the routes of the sidecar's service.
type ClassLoad map[int]int64
