package keptend

import "github.com/figring/figring/session"

// Answer collects the states of the ends that one sidecar keeps. The zero value has none.
type Answer struct {
	stored, confirmed, superseded, unknown []session.TaskEnd
}

// Add adds the state of an end.
func (a *Answer) Add(end session.TaskEnd, state State) {
	switch state {
	case Needed:
	case Confirmed:
		a.confirmed = append(a.confirmed, end)
		a.stored = append(a.stored, end)
	case Stored:
		a.stored = append(a.stored, end)
	case Superseded:
		a.superseded = append(a.superseded, end)
	case JobUnknown:
		a.unknown = append(a.unknown, end)
	}
}

// Empty reports whether the sidecar has to keep all of the ends.
func (a *Answer) Empty() bool { return len(a.stored)+len(a.superseded)+len(a.unknown) == 0 }

// Request returns the request that tells the sidecar.
func (a *Answer) Request(sidecar string) session.AdoptRequest {
	request := session.AdoptRequest{Sidecar: sidecar, ConfirmedEnds: a.confirmed, SupersededEnds: a.superseded}
	request.SetReleased(a.stored, a.unknown)
	return request
}

// IsCurrent reports whether no run of the end's task was started after it, where its job is at
// the epoch. Whoever takes the job over stores only such ends.
func IsCurrent(end session.TaskEnd, job session.Epoch) bool {
	return end.Epoch.Relate(job) == session.Current
}
