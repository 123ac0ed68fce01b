package session

import (
	"time"

	"github.com/figring/figring/work"
)

// Crash reports that a sidecar's minion ended without notice while runs were in
// progress. Any of the runs may have caused it. A sidecar reports it to all entries and
// keeps it for a while for entries that it meets later, so that what is known of a task
// outlives the entry that ran it.
type Crash struct {
	// Number increases over all crashes and poison tasks that one incarnation of the
	// sidecar reports.
	Number uint64
	// Age is the time since the sidecar noticed the crash.
	Age  time.Duration
	Runs []CrashedRun
}

// CrashedRun is a run that was in progress, or may have been, when its minion crashed.
type CrashedRun struct {
	Task work.TaskKey
	// Route is the name of the job's route; empty if the sidecar does not know it.
	Route string
	// Age is the time from the sending of the start to the crash.
	Age time.Duration
	// Confirmed means that the run is known to have been in progress. The start of any
	// other was sent and not answered, so that it may not have reached the minion.
	Confirmed bool
	// Alone means that nothing else was in progress since the start of the run.
	Alone bool
}

// PoisonTask reports that minions crash under a task. The entry that has found it tells its
// sidecars, and these tell their other entries: where entries have sessions with only some
// of the sidecars, none knows of all crashes.
type PoisonTask struct {
	// Number is as in Crash; 0 in what an entry tells.
	Number  uint64
	Task    work.TaskKey
	Route   string
	Service string
	// Age is the time since the last crash under the task.
	Age time.Duration
}

// Isolation says how a task is started among the other tasks of its minion.
type Isolation int

const (
	// IsolationNone is an ordinary start.
	IsolationNone Isolation = iota
	// IsolationSpaced means that the minion starts nothing else for some time before
	// and after the task.
	IsolationSpaced
	// IsolationAlone means that nothing else is in progress at the minion as long as the
	// task is.
	IsolationAlone
)
