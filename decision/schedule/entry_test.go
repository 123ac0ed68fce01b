package schedule

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/figring/figring/decision/execution"
	"github.com/figring/figring/decision/heldjob"
	"github.com/figring/figring/manifest"
	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

const (
	// callTimeout is after how long without an answer a session is lost.
	callTimeout = 450 * time.Millisecond
	// redial is the pause between two tries to open a session.
	redial = 100 * time.Millisecond
)

// entry is an entry's core with its sessions.
type entry struct {
	world      *world
	name       string
	boot       int
	core       *heldjob.Core
	links      map[string]*sessionLink
	frozenTill time.Time
}

// sessionLink is an entry's side of a session with one sidecar.
type sessionLink struct {
	open bool
	// life is the sidecar's life that after and noted belong to.
	life         string
	after, noted uint64
	echo         session.Stamp
	heardAt      time.Time
	nextTry      time.Time
	// opened numbers the sessions, so that messages of a former one are known.
	opened int
}

func newEntry(w *world, name string) *entry {
	made := &entry{world: w, name: name}
	made.restart(w.now)
	return made
}

// restart ends the process; the next life begins at the time.
func (e *entry) restart(at time.Time) {
	e.boot++
	e.core = heldjob.New("a", rand.New(rand.NewPCG(uint64(e.boot), 1)), at)
	e.core.SetSnapshot(manifest.Snapshot{Version: 1, Manifest: &manifest.Manifest{Version: 1, Routes: []manifest.Route{{
		Name: "r", Host: "h", Prefix: "/", Service: "desk", Attempts: 3, Stretch: 3, Objective: time.Second,
	}}}})
	e.links = make(map[string]*sessionLink)
	for _, sidecar := range e.world.sidecars {
		e.links[sidecar.name] = &sessionLink{}
	}
	e.frozenTill = at
}

func (e *entry) life() string { return fmt.Sprintf("%s.%03d", e.name, e.boot) }

func (e *entry) alive(now time.Time) bool { return !now.Before(e.frozenTill) }

// step polls every sidecar and does what the core asks for.
func (e *entry) step(now time.Time) {
	if !e.alive(now) {
		return
	}
	for _, sidecar := range e.world.sidecars {
		link := e.links[sidecar.name]
		if link.open {
			e.poll(now, link, sidecar)
		} else if !now.Before(link.nextTry) {
			e.dial(now, link, sidecar)
		}
	}
	e.core.Tick(now)
	e.act(now)
}

// poll exchanges news, or loses the session after a time without an answer.
func (e *entry) poll(now time.Time, link *sessionLink, sidecar *sidecar) {
	if !e.world.reaches(e, sidecar) || sidecar.life() != link.life {
		if now.Sub(link.heardAt) > callTimeout || sidecar.life() != link.life {
			e.close(now, link, sidecar.name)
		}
		return
	}
	core := sidecar.core
	if !core.HasSession(e.name) {
		e.close(now, link, sidecar.name)
		return
	}
	core.Echo(e.name, link.echo)
	core.Acknowledge(e.name, execution.Acks{Received: link.after, Processed: link.noted})
	if e.world.loses() {
		return
	}
	link.echo, link.heardAt = session.StampOf(now), now
	e.core.Updated(now, sidecar.name, core.StateFor(e.name, now))
	for _, event := range core.EventsFor(e.name) {
		link.after = event.Number
		e.core.RunEnded(now, sidecar.name, event)
	}
	link.noted = max(link.noted, e.core.AckedUpTo(sidecar.name))
}

// dial opens a session. The sidecar may take a Hello of which the answer is lost.
func (e *entry) dial(now time.Time, link *sessionLink, sidecar *sidecar) {
	link.nextTry = now.Add(redial)
	if !e.world.reaches(e, sidecar) {
		return
	}
	claims, known := e.core.BeginSession(sidecar.name)
	greeting := execution.HelloParams{Entry: e.name, Boot: e.life(), Claims: claims, Minion: known}
	newLife := link.life != sidecar.life()
	if !newLife {
		greeting.Acked = execution.Acks{Received: link.after, Processed: link.noted}
	}
	sidecar.core.Hello(now, greeting)
	if e.world.loses() {
		e.core.SessionFailed(sidecar.name, now)
		return
	}
	if newLife {
		link.life, link.after, link.noted = sidecar.life(), 0, 0
		e.core.SidecarRestarted(sidecar.name)
	}
	link.open = true
	link.opened++
	link.echo, link.heardAt = session.StampOf(now), now
	e.core.Connected(sidecar.name, "a", claims)
}

func (e *entry) act(now time.Time) {
	for actions := e.core.TakeActions(); len(actions) > 0; actions = e.core.TakeActions() {
		for _, action := range actions {
			switch action := action.(type) {
			case heldjob.StartTasks:
				e.order(action)
			case heldjob.StopJob:
				e.stop(action)
			case heldjob.Reply:
				e.world.answered(action)
			}
		}
	}
}

// send delivers a message of the session at once or late; what is held up by a
// cut arrives after it, unless the session was closed before.
func (e *entry) send(name string, deliver func(now time.Time, sidecar *sidecar)) {
	link, sidecar := e.links[name], e.world.sidecar(name)
	opened, boot := link.opened, e.boot
	var arrive func(now time.Time)
	arrive = func(now time.Time) {
		switch {
		case e.boot != boot || !link.open || link.opened != opened || sidecar.life() != link.life:
		case e.world.reaches(e, sidecar):
			deliver(now, sidecar)
		default:
			e.world.after(stepTime, arrive)
		}
	}
	e.world.after(e.world.delay(), arrive)
}

// order sends an order. Its answer may be lost, and the session with it.
func (e *entry) order(order heldjob.StartTasks) {
	link := e.links[order.Sidecar]
	request := order.Request
	request.Echo = link.echo
	e.send(order.Sidecar, func(now time.Time, sidecar *sidecar) {
		refusals := sidecar.core.Order(now, e.name, &request)
		state := sidecar.core.StateFor(e.name, now)
		if !e.alive(now) || e.world.loses() {
			e.close(now, link, order.Sidecar)
			return
		}
		e.core.StartReplied(now, order.Sidecar, &request, &session.StartReply{Refusals: refusals, State: state})
	})
}

func (e *entry) stop(stop heldjob.StopJob) {
	e.send(stop.Sidecar, func(now time.Time, sidecar *sidecar) { sidecar.core.StopJob(now, e.name, stop.Job) })
}

// close ends the session with a sidecar.
func (e *entry) close(now time.Time, link *sessionLink, sidecar string) {
	link.open = false
	link.nextTry = now.Add(redial)
	e.core.Disconnected(sidecar, link.heardAt)
}

// submit hands a job in.
func (e *entry) submit(now time.Time, waiter uint64, id work.JobID, tasks int) {
	e.core.Submit(now, &heldjob.Submission{
		Waiter: waiter, Host: "h", Path: "/" + string(id), CallerTimeout: 4 * time.Second,
		Job: work.Job{ID: id, BestEffort: true, Steps: []work.Step{{
			Count: tasks, Need: work.Room{MilliCPU: taskNeed, MemMB: 1}, Estimate: e.world.lengths[id],
		}}},
	})
	e.act(now)
}
