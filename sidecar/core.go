package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/figring/figring/decision/permit"
	"github.com/figring/figring/decision/startgate"
	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// core owns the state of a sidecar: everything in it is touched by the
// goroutine of run alone, except the channels and signals.
type core struct {
	box     *mailbox
	target  wire.Target
	worker  string
	started time.Time
	first   bool

	gate     *startgate.Gate
	permits  *permit.Set
	minion   *minion
	calls    map[uint64]*call
	lastCall uint64
	sequence uint64
	state    uint64

	// changed tells the renewals that entries must hear of a change.
	changed *signal
	// strangers takes entries that have no permit here.
	strangers chan model.Incarnation
	meters    *meters
	logger    *log.Logger
	// tasks runs one goroutine for each running task, at most as many as the
	// minion has slots.
	tasks   sync.WaitGroup
	taskCtx context.Context
}

// run takes messages until ctx ends.
func (c *core) run(ctx context.Context) {
	defer close(c.box.done)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		c.arm(timer)
		select {
		case one := <-c.box.inbox:
			c.handle(one)
		case <-timer.C:
			c.apply(startgate.Tick{}, time.Now())
		case <-ctx.Done():
			return
		}
	}
}

// idleTick bounds the wait for the next event, so that old records go.
const idleTick = 10 * time.Second

func (c *core) arm(timer *time.Timer) {
	wait := idleTick
	now := time.Now()
	if next := c.gate.NextTick(now); !next.IsZero() {
		wait = min(max(next.Sub(now), 0), idleTick)
	}
	timer.Reset(wait)
}

func (c *core) handle(one message) {
	now := time.Now()
	switch m := one.(type) {
	case runMessage:
		c.runCall(m, now)
	case attachMessage:
		id := c.open(&call{entry: m.request.Entry, answer: m.answer})
		c.apply(startgate.Attach{ID: id, Entry: m.request.Entry, Ref: m.request.Ref}, now)
	case lookupMessage:
		m.answer <- c.lookup(m.request)
	case withdrawMessage:
		m.answer <- c.withdraw(m.request, now)
	case revokeMessage:
		done := c.apply(startgate.Revoke{Entry: m.request.Entry, BundleVersion: m.request.BundleVersion}, now)
		m.answer <- wire.RevokeReply{Withdrawn: done.Withdrawn}
	case endMessage:
		c.apply(m.ended(), now)
	case registeredMessage:
		c.first = m.first
		c.log("registered")
	case minionMessage:
		c.announced(m, now)
	case minionLostMessage:
		c.apply(startgate.MinionLost{}, now)
		c.tell("minion lost")
	case drainMessage:
		c.apply(startgate.Drain{}, now)
		c.tell("draining")
	default:
		c.inform(one, now)
	}
}

// inform answers the messages that change nothing but permits.
func (c *core) inform(one message, now time.Time) {
	switch m := one.(type) {
	case planMessage:
		m.answer <- plan{
			remaining: c.permits.Remaining(m.entry, now),
			quiet:     c.permits.SinceLastSend(m.entry, now),
			wanted:    c.gate.HasQueued(m.entry),
			state:     c.state,
		}
	case renewMessage:
		m.answer <- wire.RenewRequest{
			Target:        c.describe(),
			Load:          c.load(),
			HasQueued:     c.gate.HasQueued(m.entry),
			MessageNumber: c.permits.RecordSend(m.entry, now),
		}
	case permitMessage:
		c.apply(startgate.PermitChanged{Entry: m.entry, Permit: m.permit}, now)
	case statusMessage:
		m.answer <- status{state: c.gate.State(), running: c.gate.Running(), queued: c.gate.Queued(), calls: len(c.calls)}
	}
}

func (c *core) runCall(m runMessage, now time.Time) {
	request := m.request
	id := c.open(&call{entry: request.Entry, request: request, answer: m.answer})
	event := startgate.Dispatch{
		ID:         id,
		Entry:      request.Entry,
		Sidecar:    request.Sidecar,
		Permit:     request.Permit,
		Ref:        request.Ref,
		Deadline:   now.Add(request.Timeout),
		Repeatable: request.Repeatable,
	}
	if request.MaxQueueWait > 0 {
		event.QueueDeadline = now.Add(request.MaxQueueWait)
	}
	c.apply(event, now)
	if c.gate.HasQueued(request.Entry) {
		c.changed.fire()
	}
}

func (c *core) open(one *call) uint64 {
	c.lastCall++
	c.calls[c.lastCall] = one
	return c.lastCall
}

// apply passes the event to the start authority and does what it says. The
// time of the event is also the base of the latest start, so that a pause of
// this process after the check can't make a start late.
func (c *core) apply(event startgate.Event, now time.Time) startgate.WithdrawResult {
	var answer startgate.WithdrawResult
	for _, one := range c.gate.Apply(event, now) {
		switch action := one.(type) {
		case startgate.Start:
			c.start(action, now)
		case startgate.End:
			c.end(action)
		case startgate.WithdrawResult:
			answer = action
		}
	}
	c.meters.gauges(c.gate)
	return answer
}

func (c *core) start(action startgate.Start, now time.Time) {
	request := c.calls[action.ID].request
	startBefore := now.Add(action.PermitRemaining)
	if action.Deadline.Before(startBefore) {
		startBefore = action.Deadline
	}
	one := order{
		ref:         action.Ref,
		class:       request.Class,
		payload:     request.Payload,
		attempt:     action.Attempt,
		startBefore: startBefore,
		deadline:    action.Deadline,
	}
	c.meters.started(one.class, action.QueueWait)
	at := c.minion
	c.tasks.Go(func() {
		_ = c.box.send(endMessage{ref: one.ref, verdict: at.run(c.taskCtx, one)})
	})
}

// end answers a call. The reply is a message to the entry: its number and its
// send time are recorded just before it leaves.
func (c *core) end(action startgate.End) {
	one := c.calls[action.ID]
	delete(c.calls, action.ID)
	if action.Reason == wire.ReasonNoPermit {
		c.stranger(one.entry)
	}
	c.meters.ended(one.request, action)
	reply := wire.RunReply{
		Status:    action.Status,
		Reason:    action.Reason,
		Result:    action.Result,
		QueueWait: action.QueueWait,
		Load:      c.load(),
	}
	reply.MessageNumber = c.permits.RecordSend(one.entry, time.Now())
	one.answer <- reply
}

// stranger reports an entry without a permit to the keeper of the list. A full
// channel means that the list is about to be read anyway.
func (c *core) stranger(entry model.Incarnation) {
	select {
	case c.strangers <- entry:
	default:
	}
}

func (c *core) load() wire.Load {
	c.sequence++
	return wire.Load{Running: c.gate.Running(), Queued: c.gate.Queued(), Sequence: c.sequence}
}

func (c *core) describe() wire.Target {
	target := c.target
	target.State = c.gate.State()
	target.Slots = c.gate.Slots()
	return target
}

func (c *core) lookup(request *wire.LookupRequest) wire.LookupReply {
	reply := wire.LookupReply{
		Sidecar:      c.target.Incarnation,
		Started:      c.started,
		First:        c.first,
		RecordsSince: c.gate.RecordsSince(),
	}
	for _, key := range request.Keys {
		reply.Records = append(reply.Records, c.gate.Lookup(key)...)
	}
	return reply
}

func (c *core) withdraw(request *wire.WithdrawRequest, now time.Time) wire.WithdrawReply {
	done := c.apply(startgate.Withdraw{Key: request.Key, Indexes: request.Indexes}, now)
	if request.StopRunning {
		c.stop(done.Running)
	}
	return wire.WithdrawReply{Withdrawn: done.Withdrawn, Started: done.Started}
}

// stop asks the minion to stop tasks, one after the other in one goroutine.
func (c *core) stop(refs []model.TaskRef) {
	at := c.minion
	if len(refs) == 0 || at == nil {
		return
	}
	c.tasks.Go(func() {
		for _, ref := range refs {
			if err := at.stop(c.taskCtx, ref); err != nil {
				c.logger.Warn().Err(err).Str("job", ref.Key.String()).Int("task", ref.Index).Msg("minion did not take the stop")
			}
		}
	})
}

// tell logs a change of state and wakes the renewals.
func (c *core) tell(what string) {
	c.state++
	c.log(what)
	c.changed.fire()
}

func (c *core) log(what string) {
	c.logger.Info().Str("sidecar", string(c.target.Incarnation)).Str("state", string(c.gate.State())).Int("slots", c.gate.Slots()).Msg(what)
}
