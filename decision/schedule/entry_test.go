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
	// callTimeout is the time without an answer after which a session is lost.
	callTimeout = 450 * time.Millisecond
	// redialInterval is the time between two attempts to open a session.
	redialInterval = 100 * time.Millisecond
)

// entry simulates the process of an entry: its core and its sessions with sidecars.
type entry struct {
	sim  *simulation
	name string
	// starts counts the starts of the process.
	starts   int
	core     *heldjob.Core
	sessions map[string]*sidecarSession
	// store and kept are set where jobs are stored.
	store *keptStore
	kept  *keptOwner
	// frozenUntil is the end of the time in which the process is suspended or down.
	frozenUntil time.Time
}

// sidecarSession is an entry's side of a session with one sidecar.
type sidecarSession struct {
	open bool
	// incarnation is the sidecar incarnation that heard and noted refer to. heard is
	// the number of the last event received from it, noted the number up to which it
	// need not keep events for this entry.
	incarnation  string
	heard, noted uint64
	// heardNews is the number of the last crash or poison task received from it,
	// toldPoison that of the last poison task sent to it.
	heardNews, toldPoison uint64
	// unstored are the acknowledged events that the entry has not stored.
	unstored   []uint64
	echo       session.Stamp
	lastAnswer time.Time
	nextDial   time.Time
	// sessionNumber counts the sessions, so that messages of an earlier session are
	// recognised and dropped.
	sessionNumber int
}

func newEntry(sim *simulation, name string) *entry {
	made := &entry{sim: sim, name: name}
	made.restart(sim.now)
	return made
}

// restart ends the process; its next incarnation starts at the given time.
func (e *entry) restart(at time.Time) {
	e.starts++
	e.core = heldjob.New("a", rand.New(rand.NewPCG(uint64(e.starts), 1)), at)
	e.core.SetSnapshot(manifest.Snapshot{Version: 1, Manifest: &manifest.Manifest{Version: 1, Routes: e.sim.routes}})
	e.sessions = make(map[string]*sidecarSession)
	for _, sidecar := range e.sim.sidecars {
		e.sessions[sidecar.name] = &sidecarSession{}
	}
	e.frozenUntil = at
	if e.store != nil {
		e.kept = newKeptOwner(e, e.store)
	}
}

func (e *entry) incarnation() string { return fmt.Sprintf("%s.%03d", e.name, e.starts) }

func (e *entry) alive(now time.Time) bool { return !now.Before(e.frozenUntil) }

// step polls the sidecars with an open session, dials the others, and performs the
// actions of the core.
func (e *entry) step(now time.Time) {
	if !e.alive(now) {
		return
	}
	for _, sidecar := range e.sim.sidecars {
		conn := e.sessions[sidecar.name]
		if conn.open {
			e.poll(now, conn, sidecar)
		} else if !now.Before(conn.nextDial) {
			e.dial(now, conn, sidecar)
		}
	}
	if e.kept != nil {
		e.kept.step(now)
	}
	e.core.Tick(now)
	e.performActions(now)
}

// poll exchanges events and states with a sidecar. It closes the session when the
// sidecar has restarted or does not know the entry, and after callTimeout without an
// answer.
func (e *entry) poll(now time.Time, conn *sidecarSession, sidecar *sidecar) {
	if !e.sim.connected(e, sidecar) || sidecar.incarnation() != conn.incarnation {
		if now.Sub(conn.lastAnswer) > callTimeout || sidecar.incarnation() != conn.incarnation {
			e.close(now, conn, sidecar.name)
		}
		return
	}
	core := sidecar.core
	if !core.HasSession(e.name) {
		e.close(now, conn, sidecar.name)
		return
	}
	core.Echo(e.name, conn.echo)
	core.Acknowledge(now, e.name, execution.Acks{Received: conn.heard, Processed: conn.noted, Unstored: conn.unstored})
	if e.sim.losesMessage() {
		return
	}
	conn.echo, conn.lastAnswer = session.StampOf(now), now
	e.core.Updated(now, sidecar.name, core.StateFor(e.name, now))
	e.exchangeNews(now, conn, sidecar)
	for _, event := range core.EventsFor(e.name) {
		conn.heard = event.Number
		e.core.RunEnded(now, sidecar.name, event)
	}
	conn.noted = max(conn.noted, e.core.AckedUpTo(sidecar.name))
	conn.unstored = e.core.TakeUnstored(sidecar.name)
	if e.kept != nil {
		e.kept.answerOrphans(now, sidecar, core.OrphansToQuery(now))
	}
}

// exchangeNews exchanges crashes and poison tasks with a sidecar.
func (e *entry) exchangeNews(now time.Time, conn *sidecarSession, sidecar *sidecar) {
	found, newest := e.core.PoisonAfter(now, conn.toldPoison)
	sidecar.core.RecordPoison(now, found)
	conn.toldPoison = newest
	reply := session.PollReply{Crashes: sidecar.core.CrashesAfter(now, conn.heardNews), Poison: sidecar.core.PoisonAfter(now, conn.heardNews)}
	for i := range reply.Crashes {
		e.core.MinionCrashed(now, sidecar.name, &reply.Crashes[i])
	}
	for i := range reply.Poison {
		e.core.PoisonReported(now, sidecar.name, &reply.Poison[i])
	}
	conn.heardNews = max(conn.heardNews, reply.NewestNews())
}

// dial opens a session. The answer may be lost after the sidecar has processed the
// Hello.
func (e *entry) dial(now time.Time, conn *sidecarSession, sidecar *sidecar) {
	conn.nextDial = now.Add(redialInterval)
	if !e.sim.connected(e, sidecar) {
		return
	}
	claims, knownMinion := e.core.BeginSession(now, sidecar.name)
	greeting := execution.HelloParams{Entry: e.name, Boot: e.incarnation(), Claims: claims, Minion: knownMinion, KeepsJobs: e.kept != nil}
	restarted := conn.incarnation != sidecar.incarnation()
	if !restarted {
		greeting.Acked = execution.Acks{Received: conn.heard, Processed: conn.noted, Unstored: conn.unstored}
	} else if e.kept != nil {
		greeting.StoredEnds = e.core.StoredEnds(sidecar.name)
	}
	sidecar.core.Hello(now, greeting)
	if e.sim.losesMessage() {
		e.core.SessionFailed(sidecar.name, now)
		return
	}
	if restarted {
		conn.incarnation, conn.heard, conn.noted, conn.heardNews = sidecar.incarnation(), 0, 0, 0
		conn.unstored = nil
		e.core.SidecarRestarted(sidecar.name)
	}
	conn.open = true
	conn.toldPoison = 0
	conn.sessionNumber++
	conn.echo, conn.lastAnswer = session.StampOf(now), now
	e.core.Connected(sidecar.name, "a", claims)
}

func (e *entry) performActions(now time.Time) {
	for actions := e.core.TakeActions(); len(actions) > 0; actions = e.core.TakeActions() {
		for _, action := range actions {
			switch action := action.(type) {
			case heldjob.StartTasks:
				e.sendOrder(action)
			case heldjob.StopJob:
				e.sendStop(action)
			case heldjob.Reply:
				e.sim.checkReply(action)
			case heldjob.CreateJob, heldjob.SaveJob, heldjob.EndJob:
				e.kept.perform(action)
			}
		}
	}
}

// send delivers a message of the session with a random delay. While the sidecar
// can't be reached, delivery is retried; it is given up once the session is closed
// or either process has restarted.
func (e *entry) send(name string, deliver func(now time.Time, sidecar *sidecar)) {
	conn, sidecar := e.sessions[name], e.sim.sidecar(name)
	sessionNumber, starts := conn.sessionNumber, e.starts
	var arrive func(now time.Time)
	arrive = func(now time.Time) {
		switch {
		case e.starts != starts || !conn.open || conn.sessionNumber != sessionNumber || sidecar.incarnation() != conn.incarnation:
		case e.sim.connected(e, sidecar):
			deliver(now, sidecar)
		default:
			e.sim.deliverAfter(stepTime, arrive)
		}
	}
	e.sim.deliverAfter(e.sim.messageDelay(), arrive)
}

// sendOrder sends an order. If the answer is lost, the session is closed.
func (e *entry) sendOrder(order heldjob.StartTasks) {
	conn := e.sessions[order.Sidecar]
	request := order.Request
	request.Echo = conn.echo
	e.send(order.Sidecar, func(now time.Time, sidecar *sidecar) {
		refusals := sidecar.core.Order(now, e.name, &request)
		state := sidecar.core.StateFor(e.name, now)
		if !e.alive(now) || e.sim.losesMessage() {
			e.close(now, conn, order.Sidecar)
			return
		}
		e.core.StartReplied(now, order.Sidecar, &request, &session.StartReply{Refusals: refusals, State: state})
	})
}

func (e *entry) sendStop(stop heldjob.StopJob) {
	e.send(stop.Sidecar, func(now time.Time, sidecar *sidecar) { sidecar.core.StopJob(now, e.name, stop.Job, stop.UpTo) })
}

// close ends a session; the next one is dialed after redialInterval.
func (e *entry) close(now time.Time, conn *sidecarSession, sidecar string) {
	conn.open = false
	conn.nextDial = now.Add(redialInterval)
	e.core.Disconnected(sidecar, conn.lastAnswer)
}

// submit submits a job to the core.
func (e *entry) submit(now time.Time, c *caller) {
	e.core.Submit(now, &heldjob.Submission{
		Waiter: c.waiter, Host: "h", Path: "/" + c.route + "/" + string(c.job), CallerTimeout: 4 * time.Second,
		Job: work.Job{ID: c.job, BestEffort: true, Steps: []work.Step{{
			Count: c.tasks, Need: work.Resources{MilliCPU: taskNeed, MemMB: 1}, Estimate: e.sim.runTimes[c.job],
		}}},
	})
	e.performActions(now)
}
