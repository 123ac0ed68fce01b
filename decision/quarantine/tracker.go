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
	// repeatedAt is when a minion last crashed under a task under which another had
	// crashed before.
	repeatedAt time.Time
	nextSweep  time.Time
	// evidence is false while no task of any route is blamed for a crash.
	evidence bool
	changes  []Change
}

// New returns a Tracker that knows of no crash.
func New() *Tracker {
	return &Tracker{
		tasks: make(map[work.TaskKey]*taskRecord), routes: make(map[string]*routeRecord), crashedAt: make(map[string]time.Time),
	}
}

// RecordCrash records a crash of a sidecar's minion, which belongs to the service. It
// returns the tasks that are taken for poison from now on. Crashes may be recorded in any
// order.
func (t *Tracker) RecordCrash(now time.Time, sidecar, service string, crash *session.Crash) []work.TaskKey {
	t.sweep(now)
	at := now.Add(-crash.Age)
	t.crashedAt[sidecar] = latest(t.crashedAt[sidecar], at)
	cause, found := soleCause(crash.Runs)
	var poison, repeated []work.TaskKey
	for _, run := range crash.Runs {
		task := t.task(run.Task, run.Route)
		young := run.Age <= youngAge
		task.record(at, young, found && run.Task.Job == cause)
		if young {
			route := t.route(run.Route, service)
			route.suspectedAt = latest(route.suspectedAt, at)
		}
		if task.crashes < poisonCrashes {
			continue
		}
		t.repeatedAt = latest(t.repeatedAt, at)
		if young {
			repeated = append(repeated, run.Task)
		}
		if task.isPoison() && !task.poison {
			task.poison = true
			poison = append(poison, run.Task)
		}
	}
	switch {
	case len(poison) > 0:
		t.blame(at, service, poison)
	case crash.Age <= youngAge:
		t.blame(at, service, repeated)
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

// blame counts a crash as evidence against the route of the tasks, if all are of one
// route.
func (t *Tracker) blame(at time.Time, service string, tasks []work.TaskKey) {
	for _, task := range tasks {
		if t.tasks[task].route != t.tasks[tasks[0]].route {
			return
		}
	}
	for _, task := range tasks {
		t.route(t.tasks[task].route, service).blamed[task.Job] = at
		t.evidence = true
	}
}

// Restore records that a number of minions are known to have crashed under a task, from
// what was stored of its job.
func (t *Tracker) Restore(now time.Time, key work.TaskKey, route string, crashes int) {
	if crashes == 0 {
		return
	}
	task := t.task(key, route)
	task.crashes = max(task.crashes, crashes)
	task.at = now
}

// Crashes returns the number of minions that are known to have crashed under a task.
func (t *Tracker) Crashes(key work.TaskKey) int {
	if task, ok := t.tasks[key]; ok {
		return task.crashes
	}
	return 0
}

// Poison reports whether a task crashes the minions that start it.
func (t *Tracker) Poison(key work.TaskKey) bool {
	task, ok := t.tasks[key]
	return ok && task.poison
}

// Isolation returns how the next run of a task is to be started. A single crash says
// little, so that the first runs after it are started like any others.
func (t *Tracker) Isolation(now time.Time, key work.TaskKey) session.Isolation {
	task, ok := t.tasks[key]
	switch {
	case !ok:
		return session.IsolationNone
	case task.crashes >= aloneCrashes:
		return session.IsolationAlone
	case !task.young:
		return session.IsolationNone
	case task.crashes >= poisonCrashes || now.Sub(t.repeatedAt) <= evidenceTime:
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

// sweep forgets old crashes, and all if there are too many.
func (t *Tracker) sweep(now time.Time) {
	if now.Before(t.nextSweep) && len(t.tasks) <= maxTasks {
		return
	}
	t.nextSweep = now.Add(sweepInterval)
	for key, task := range t.tasks {
		if now.Sub(task.at) > retention || len(t.tasks) > maxTasks && !task.poison {
			delete(t.tasks, key)
		}
	}
	maps.DeleteFunc(t.crashedAt, func(_ string, at time.Time) bool { return now.Sub(at) > retention })
	maps.DeleteFunc(t.routes, func(_ string, route *routeRecord) bool {
		return now.Sub(latest(route.submittedAt, route.suspectedAt)) > retention
	})
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
