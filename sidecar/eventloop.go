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

// eventLoop owns the state of a sidecar. Only the goroutine of run may change the
// state. The mailbox, the channels, changed and tasks are safe for concurrent use.
type eventLoop struct {
	mailbox          *mailbox
	target           wire.Target
	worker           string
	started          time.Time
	firstIncarnation bool

	gate         *startgate.Gate
	permits      *permit.Set
	minion       *minionClient
	calls        map[uint64]*call
	lastCallID   uint64
	loadSequence uint64
	stateVersion uint64

	// changed wakes the renewers after a change that entries must be told of.
	changed *broadcaster
	// unknownEntries receives entries whose calls ended as not started for lack
	// of a permit.
	unknownEntries chan model.Incarnation
	meters         *meters
	logger         *log.Logger
	// tasks holds one goroutine per running task, at most as many as the minion
	// has slots, and one per open request to stop tasks.
	tasks   sync.WaitGroup
	taskCtx context.Context
}

// run processes messages and timer ticks until ctx ends.
func (l *eventLoop) run(ctx context.Context) {
	defer close(l.mailbox.done)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		l.resetTimer(timer)
		select {
		case msg := <-l.mailbox.messages:
			l.handle(msg)
		case <-timer.C:
			l.apply(startgate.Tick{}, time.Now())
		case <-ctx.Done():
			return
		}
	}
}

// maxTickInterval bounds the time between two events, because expired records are
// dropped only while an event is processed.
const maxTickInterval = 10 * time.Second

// resetTimer sets the timer to the next tick of the gate.
func (l *eventLoop) resetTimer(timer *time.Timer) {
	wait := maxTickInterval
	now := time.Now()
	if next := l.gate.NextTick(now); !next.IsZero() {
		wait = min(max(next.Sub(now), 0), maxTickInterval)
	}
	timer.Reset(wait)
}

func (l *eventLoop) handle(msg message) {
	now := time.Now()
	switch m := msg.(type) {
	case runMessage:
		l.dispatch(m, now)
	case attachMessage:
		id := l.addCall(&call{entry: m.request.Entry, replyTo: m.replyTo})
		l.apply(startgate.Attach{ID: id, Entry: m.request.Entry, Ref: m.request.Ref}, now)
	case lookupMessage:
		m.replyTo <- l.lookup(m.request)
	case withdrawMessage:
		m.replyTo <- l.withdraw(m.request, now)
	case revokeMessage:
		result := l.apply(startgate.Revoke{Entry: m.request.Entry, BundleVersion: m.request.BundleVersion}, now)
		m.replyTo <- wire.RevokeReply{Withdrawn: result.Withdrawn}
	case endMessage:
		l.apply(m.event(), now)
	case registeredMessage:
		l.firstIncarnation = m.firstIncarnation
		l.log("registered")
	case announcementMessage:
		l.handleAnnouncement(m, now)
	case minionLostMessage:
		l.apply(startgate.MinionLost{}, now)
		l.stateChanged("minion lost")
	case drainMessage:
		l.apply(startgate.Drain{}, now)
		l.stateChanged("draining")
	default:
		l.handlePermitOrStatus(msg, now)
	}
}

// handlePermitOrStatus handles the messages that change at most permits and their
// message numbers, and queries.
func (l *eventLoop) handlePermitOrStatus(msg message, now time.Time) {
	switch m := msg.(type) {
	case renewalStateMessage:
		m.replyTo <- renewalState{
			remaining:     l.permits.Remaining(m.entry, now),
			sinceLastSend: l.permits.SinceLastSend(m.entry, now),
			hasQueued:     l.gate.HasQueued(m.entry),
			stateVersion:  l.stateVersion,
		}
	case renewMessage:
		m.replyTo <- wire.RenewRequest{
			Target:        l.currentTarget(),
			Load:          l.nextLoad(),
			HasQueued:     l.gate.HasQueued(m.entry),
			MessageNumber: l.permits.RecordSend(m.entry, now),
		}
	case permitMessage:
		l.apply(startgate.PermitChanged{Entry: m.entry, Permit: m.permit}, now)
	case statusMessage:
		m.replyTo <- status{state: l.gate.State(), running: l.gate.Running(), queued: l.gate.Queued(), calls: len(l.calls)}
	}
}

// dispatch passes a Run call to the gate and, if a task of the entry is queued,
// wakes the renewers, which may have to renew the permit.
func (l *eventLoop) dispatch(m runMessage, now time.Time) {
	request := m.request
	id := l.addCall(&call{entry: request.Entry, request: request, replyTo: m.replyTo})
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
	l.apply(event, now)
	if l.gate.HasQueued(request.Entry) {
		l.changed.broadcast()
	}
}

func (l *eventLoop) addCall(call *call) uint64 {
	l.lastCallID++
	l.calls[l.lastCallID] = call
	return l.lastCallID
}

// apply passes the event to the gate and performs the returned actions. The latest
// start of a task is computed from the time of the event, so that a pause of this
// process after the permit check can't cause a start after the permit has expired.
func (l *eventLoop) apply(event startgate.Event, now time.Time) startgate.WithdrawResult {
	var result startgate.WithdrawResult
	for _, action := range l.gate.Apply(event, now) {
		switch action := action.(type) {
		case startgate.Start:
			l.startTask(action, now)
		case startgate.End:
			l.completeCall(action)
		case startgate.WithdrawResult:
			result = action
		}
	}
	l.meters.updateGauges(l.gate)
	return result
}

// startTask sends the task to the minion. The task must not start after its permit
// or its deadline, whichever is earlier.
func (l *eventLoop) startTask(action startgate.Start, now time.Time) {
	request := l.calls[action.ID].request
	startBefore := now.Add(action.PermitRemaining)
	if action.Deadline.Before(startBefore) {
		startBefore = action.Deadline
	}
	task := taskRequest{
		ref:         action.Ref,
		class:       request.Class,
		payload:     request.Payload,
		attempt:     action.Attempt,
		startBefore: startBefore,
		deadline:    action.Deadline,
	}
	l.meters.recordStart(task.class, action.QueueWait)
	client := l.minion
	l.tasks.Go(func() {
		_ = l.mailbox.send(endMessage{ref: task.ref, run: client.run(l.taskCtx, task)})
	})
}

// completeCall replies to a call. A reply counts as a message to the entry, so its
// number and send time are recorded immediately before it is sent.
func (l *eventLoop) completeCall(action startgate.End) {
	call := l.calls[action.ID]
	delete(l.calls, action.ID)
	if action.Reason == wire.ReasonNoPermit {
		l.reportUnknownEntry(call.entry)
	}
	l.meters.recordEnd(call.request, action)
	reply := wire.RunReply{
		Status:    action.Status,
		Reason:    action.Reason,
		Result:    action.Result,
		QueueWait: action.QueueWait,
		Load:      l.nextLoad(),
	}
	reply.MessageNumber = l.permits.RecordSend(call.entry, time.Now())
	call.replyTo <- reply
}

// reportUnknownEntry reports an entry without a permit to the directory. If the
// channel is full, the report is dropped, because the directory is about to read
// the list of entries anyway.
func (l *eventLoop) reportUnknownEntry(entry model.Incarnation) {
	select {
	case l.unknownEntries <- entry:
	default:
	}
}

// nextLoad returns the current load with a new sequence number.
func (l *eventLoop) nextLoad() wire.Load {
	l.loadSequence++
	return wire.Load{Running: l.gate.Running(), Queued: l.gate.Queued(), Sequence: l.loadSequence}
}

func (l *eventLoop) currentTarget() wire.Target {
	target := l.target
	target.State = l.gate.State()
	target.Slots = l.gate.Slots()
	return target
}

func (l *eventLoop) lookup(request *wire.LookupRequest) wire.LookupReply {
	reply := wire.LookupReply{
		Sidecar:      l.target.Incarnation,
		Started:      l.started,
		First:        l.firstIncarnation,
		RecordsSince: l.gate.RecordsSince(),
	}
	for _, key := range request.Keys {
		reply.Records = append(reply.Records, l.gate.Lookup(key)...)
	}
	return reply
}

func (l *eventLoop) withdraw(request *wire.WithdrawRequest, now time.Time) wire.WithdrawReply {
	result := l.apply(startgate.Withdraw{Key: request.Key, Indexes: request.Indexes}, now)
	if request.StopRunning {
		l.stopTasks(result.Running)
	}
	return wire.WithdrawReply{Withdrawn: result.Withdrawn, Started: result.Started}
}

// stopTasks asks the minion to stop tasks, sequentially in one goroutine.
func (l *eventLoop) stopTasks(refs []model.TaskRef) {
	client := l.minion
	if len(refs) == 0 || client == nil {
		return
	}
	l.tasks.Go(func() {
		for _, ref := range refs {
			if err := client.stop(l.taskCtx, ref); err != nil {
				l.logger.Warn().Err(err).Str("job", ref.Key.String()).Int("task", ref.Index).Msg("minion failed to stop the task")
			}
		}
	})
}

// stateChanged logs a change of state and wakes the renewers to report it.
func (l *eventLoop) stateChanged(what string) {
	l.stateVersion++
	l.log(what)
	l.changed.broadcast()
}

func (l *eventLoop) log(what string) {
	l.logger.Info().Str("sidecar", string(l.target.Incarnation)).Str("state", string(l.gate.State())).Int("slots", l.gate.Slots()).Msg(what)
}
