package schedules

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figring/figring/decision/permit"
	"github.com/figring/figring/decision/startgate"
	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

const (
	slotsPerMinion = 2
	recordLimit    = 3
	resultBytes    = 1 << 10
)

// sidecar is one incarnation of a sidecar, together with its minion.
type sidecar struct {
	w          *simulation
	name, zone string
	self       model.Incarnation
	clock      clock
	ended      bool
	paused     bool
	registered bool
	first      bool
	startedAt  time.Time
	permits    *permit.Set
	gate       *startgate.Gate
	calls      map[uint64]sidecarCall
	lastCall   uint64
	running    []model.TaskRef
}

type sidecarCall struct {
	entry model.Incarnation
	reply func(wire.RunReply)
}

func (s *sidecar) alive() bool    { return !s.ended }
func (s *sidecar) awake() bool    { return !s.paused }
func (s *sidecar) now() time.Time { return s.clock.at(s.w.now) }

// apply passes the event to the start gate and executes the resulting actions.
func (s *sidecar) apply(event startgate.Event) {
	now := s.now()
	for _, one := range s.gate.Apply(event, now) {
		switch action := one.(type) {
		case startgate.Start:
			s.start(action, now.Add(action.PermitRemaining))
		case startgate.End:
			s.end(action)
		}
	}
}

// start sends a task to the minion, which rejects it once the permit has expired.
func (s *sidecar) start(action startgate.Start, before time.Time) {
	s.w.post(message{to: s, what: "start", lost: func() {}, act: func() {
		if !s.now().Before(before) {
			s.apply(startgate.TaskEnded{Ref: action.Ref, Outcome: startgate.EndNotRun})
			return
		}
		s.w.checker.started(action.Ref, s)
		s.running = append(s.running, action.Ref)
	}})
}

// finish ends a running task, with a result if answered is set and with an unknown
// outcome otherwise.
func (s *sidecar) finish(index int, answered bool) {
	ref := s.running[index]
	s.running = append(s.running[:index:index], s.running[index+1:]...)
	if !answered {
		s.apply(startgate.TaskEnded{Ref: ref, Outcome: startgate.EndUnknown})
		return
	}
	s.w.checker.ended[ref] = true
	body := []byte(bodyOf(ref))
	result := model.TaskResult{Index: ref.Index, Status: 200, Body: body, Digest: xxhash.Sum64(body)}
	s.apply(startgate.TaskEnded{Ref: ref, Outcome: startgate.EndDone, Result: result})
}

// end answers a call. The reply's message number and send time are recorded before
// it is sent.
func (s *sidecar) end(action startgate.End) {
	call := s.calls[action.ID]
	delete(s.calls, action.ID)
	reply := wire.RunReply{Status: action.Status, Reason: action.Reason, Result: action.Result}
	reply.MessageNumber = s.permits.RecordSend(call.entry, s.now())
	call.reply(reply)
}

func (s *sidecar) open(entry model.Incarnation, reply func(wire.RunReply)) uint64 {
	s.lastCall++
	s.calls[s.lastCall] = sidecarCall{entry: entry, reply: reply}
	return s.lastCall
}

func (s *sidecar) lookup(key model.JobKey) wire.LookupReply {
	return wire.LookupReply{
		Sidecar:      s.self,
		Started:      s.startedAt,
		First:        s.first,
		RecordsSince: s.gate.RecordsSince(),
		Records:      s.gate.Lookup(key),
	}
}

// renew requests a permit from every entry, or registers the sidecar first.
func (s *sidecar) renew() {
	if !s.registered {
		s.w.register(s)
		return
	}
	for _, to := range s.w.entries {
		number := s.permits.RecordSend(to.self, s.now())
		s.w.post(message{to: to, what: "renew", act: func() {
			to.heard(s, number)
			granted := to.permit(s)
			s.w.post(message{to: s, what: "permit", act: func() {
				s.apply(startgate.PermitChanged{Entry: to.self, Permit: granted})
			}})
		}})
	}
}

func bodyOf(ref model.TaskRef) string {
	return fmt.Sprintf("%s/%d", ref.Key, ref.Index)
}
