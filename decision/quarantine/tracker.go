package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// Tracker keeps the crashes that one entry knows of. It is not safe for concurrent use.
type Tracker struct {
	tasks  map[work.TaskKey]*taskRecord
	routes map[string]*routeRecord
	// crashedAt is when the minion of each sidecar last crashed.
	crashedAt map[string]time.Time
	// suspects are the routes that are blamed for crashes or confined.
	suspects map[string]*routeRecord
	// proofs are the poison tasks that this entry has found, for all other entries.
	proofs    []proof
	nextSweep time.Time
	changes   []Change
}

// New returns a Tracker that knows of no crash.
func New() *Tracker {
	return &Tracker{
		tasks: make(map[work.TaskKey]*taskRecord), crashedAt: make(map[string]time.Time),
		routes: make(map[string]*routeRecord), suspects: make(map[string]*routeRecord),
	}
}

// RecordCrash records a crash of a sidecar's minion, which belongs to the service. It
// returns the tasks that are taken for poison from now on. Crashes may be recorded in any
// order.
func (t *Tracker) RecordCrash(now time.Time, sidecar, service string, crash *session.Crash) []work.TaskKey {
	t.sweep(now)
	at := now.Add(-max(crash.Age, 0))
	t.crashedAt[sidecar] = latest(t.crashedAt[sidecar], at)
	cause, found := soleCause(crash.Runs)
	var poison []work.TaskKey
	for _, run := range crash.Runs {
		task := t.task(run.Task, run.Route)
		young := run.Age <= youngAge
		sole := found && run.Task.Job == cause
		switch {
		case run.Confirmed:
			task.record(at, young, sole, run.Alone)
		case sole:
			task.unanswered++
		}
		task.setYoung(at, young)
		if young {
			route := t.route(run.Route, service)
			route.suspectedAt = latest(route.suspectedAt, at)
		}
		if task.isPoison() && !task.poison {
			task.poison = true
			poison = append(poison, run.Task)
			t.blame(at, run.Route, service, run.Task.Job)
			t.addProof(at, run.Task, run.Route, service)
		}
	}
	return poison
}

// soleCause returns the only job that can have caused the crash, and whether there is
// one: its run was young, and no run of another job was started within Spacing of it.
func soleCause(runs []session.CrashedRun) (work.JobID, bool) {
	if len(runs) == 0 {
		return "", false
	}
	youngest := slices.MinFunc(runs, func(a, b session.CrashedRun) int { return cmp.Compare(a.Age, b.Age) })
	if youngest.Age > youngAge {
		return "", false
	}
	for _, run := range runs {
		if run.Task.Job != youngest.Task.Job && run.Age < youngest.Age+Spacing {
			return "", false
		}
	}
	return youngest.Task.Job, true
}

// blame counts a job with a poison task as evidence against its route, if that is known.
func (t *Tracker) blame(at time.Time, name, service string, job work.JobID) {
	if name == "" {
		return
	}
	route := t.route(name, service)
	route.blamed[job] = at
	route.suspectedAt = latest(route.suspectedAt, at)
	t.suspects[name] = route
}

// Restore records that a number of minions are known to have crashed under a task, from
// what was stored of its job.
func (t *Tracker) Restore(now time.Time, key work.TaskKey, route string, crashes int) {
	if crashes == 0 {
		return
	}
	t.task(key, route).restore(now, crashes)
}

// Crashes returns the number of minions that are known to have crashed under a task.
func (t *Tracker) Crashes(key work.TaskKey) int {
	if task, ok := t.tasks[key]; ok {
		return task.crashes()
	}
	return 0
}

// Poison reports whether a task crashes the minions that start it.
func (t *Tracker) Poison(key work.TaskKey) bool {
	task, ok := t.tasks[key]
	return ok && task.poison
}

// Isolation returns how the next run of a task is to be started.
func (t *Tracker) Isolation(key work.TaskKey) session.Isolation {
	task, ok := t.tasks[key]
	switch {
	case !ok:
		return session.IsolationNone
	case task.crashes() >= aloneCrashes:
		return session.IsolationAlone
	case task.young:
		return session.IsolationSpaced
	}
	return session.IsolationNone
}

// CrashedLately reports whether a sidecar's minion has crashed within evidenceTime.
func (t *Tracker) CrashedLately(now time.Time, sidecar string) bool {
	at, ok := t.crashedAt[sidecar]
	return ok && now.Sub(at) <= evidenceTime
}

func (t *Tracker) task(key work.TaskKey, route string) *taskRecord {
	found, ok := t.tasks[key]
	if !ok {
		found = &taskRecord{route: route}
		t.tasks[key] = found
	}
	return found
}

func (t *Tracker) route(name, service string) *routeRecord {
	found, ok := t.routes[name]
	if !ok {
		found = &routeRecord{blamed: make(map[work.JobID]time.Time)}
		t.routes[name] = found
	}
	found.service = service
	return found
}

// sweepInterval is the least time between two sweeps.
const sweepInterval = time.Second

// sweep forgets old crashes. If there are too many, it forgets all but those of poison
// tasks.
func (t *Tracker) sweep(now time.Time) {
	if now.Before(t.nextSweep) && len(t.tasks) <= maxTasks {
		return
	}
	t.nextSweep = now.Add(sweepInterval)
	tooMany := len(t.tasks) > maxTasks
	for key, task := range t.tasks {
		if now.Sub(task.at) > retention || tooMany && !task.poison {
			delete(t.tasks, key)
		}
	}
	maps.DeleteFunc(t.crashedAt, func(_ string, at time.Time) bool { return now.Sub(at) > retention })
	maps.DeleteFunc(t.routes, func(name string, route *routeRecord) bool {
		return t.suspects[name] == nil && now.Sub(latest(route.submittedAt, route.suspectedAt)) > retention
	})
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
