package session

import (
	"time"

	"github.com/figring/figring/work"
)

// State is what a sidecar reports to entries about its minion, its free
// resources and its queue.
type State struct {
	Minion Minion
	// Accepting is false while the sidecar refuses all tasks, for Reason.
	Accepting bool
	Reason    Refusal
	// Suspect means that the minion fails, stalls or slows down most of its
	// runs; it gets one trial task at a time, and more only while these run for long.
	Suspect bool
	// TrialDue means that a suspect minion may get its next trial task now.
	TrialDue bool
	// Free are the resources that no running or queued task needs.
	Free work.Resources
	// Queued are the tasks that wait for resources.
	Queued Backlog
	// Turnover is the expected time within which the whole capacity is freed
	// once.
	Turnover time.Duration
	// StartPause is the time for which the minion starts nothing, because of tasks that
	// are started in isolation.
	StartPause time.Duration
	// Pace is the ratio of actual to estimated run time on this minion.
	Pace float64
	// LastStartNumber is the number of the newest StartRequest of this session
	// that the state reflects.
	LastStartNumber uint64
	// FailureShare is the share of the minion's latest runs that failed, in
	// thousandths and at least 1; 0 if the sidecar does not report it.
	FailureShare int
	// RunTimes are the measured run times by route. They are nil in most states, which
	// means that the newest ones remain valid.
	RunTimes []RunTime
	// Interference is the evidence on how kinds of tasks affect each other. It is nil in
	// most states, which means that the newest one remains valid.
	Interference *Interference
	// Running are the runs in progress by kind; nil unless Interference is reported.
	Running []KindLoad
}
