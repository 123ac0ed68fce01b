package sidecar

import (
	"time"

	"github.com/figring/figring/decision/startgate"
	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
	"github.com/figring/figring/wire"
)

// message is what the other goroutines send to the one that owns the state.
// Every answer channel holds one element, so that the owner never waits.
type message interface{ message() }

// runMessage is an entry's Run call.
type runMessage struct {
	request *wire.RunRequest
	replyTo chan wire.RunReply
}

// attachMessage is an entry's Attach call.
type attachMessage struct {
	request *wire.AttachRequest
	replyTo chan wire.RunReply
}

// lookupMessage is an entry's Lookup call.
type lookupMessage struct {
	request *wire.LookupRequest
	replyTo chan wire.LookupReply
}

// withdrawMessage is an entry's Withdraw call.
type withdrawMessage struct {
	request *wire.WithdrawRequest
	replyTo chan wire.WithdrawReply
}

// revokeMessage is an entry's Revoke call.
type revokeMessage struct {
	request *wire.RevokeRequest
	replyTo chan wire.RevokeReply
}

// endMessage is the end of a running task.
type endMessage struct {
	ref model.TaskRef
	run runOutcome
}

// registeredMessage says that this incarnation's row is written.
type registeredMessage struct{ firstIncarnation bool }

// announcementMessage carries an announcement that differs from the one before.
type announcementMessage struct{ announcement store.Announcement }

// minionLostMessage says that the minion fell silent.
type minionLostMessage struct{}

// renewalStateMessage asks how long an entry's permit lasts.
type renewalStateMessage struct {
	entry   model.Incarnation
	replyTo chan renewalState
}

// renewalState says when the next renewal is due.
type renewalState struct {
	remaining time.Duration
	// sinceLastSend is the time since anything was sent to the entry.
	sinceLastSend time.Duration
	// hasQueued says that tasks of the entry are waiting here.
	hasQueued bool
	// stateVersion grows with every change that entries are told at once.
	stateVersion uint64
}

// renewMessage asks for the next renewal of an entry's permit. The number of
// the message and its send time are recorded when it is answered.
type renewMessage struct {
	entry   model.Incarnation
	replyTo chan wire.RenewRequest
}

// permitMessage carries a permit from a renewal.
type permitMessage struct {
	entry  model.Incarnation
	permit wire.Permit
}

// drainMessage starts the ordered stop.
type drainMessage struct{}

// statusMessage asks for what the status pages show.
type statusMessage struct{ replyTo chan status }

// status is what the status pages show.
type status struct {
	state   wire.TargetState
	running int
	queued  int
	calls   int
}

func (runMessage) message()          {}
func (attachMessage) message()       {}
func (lookupMessage) message()       {}
func (withdrawMessage) message()     {}
func (revokeMessage) message()       {}
func (endMessage) message()          {}
func (registeredMessage) message()   {}
func (announcementMessage) message() {}
func (minionLostMessage) message()   {}
func (renewalStateMessage) message() {}
func (renewMessage) message()        {}
func (permitMessage) message()       {}
func (drainMessage) message()        {}
func (statusMessage) message()       {}

// event turns the message into the event of the start authority.
func (m endMessage) event() startgate.TaskEnded {
	return startgate.TaskEnded{Ref: m.ref, Outcome: m.run.outcome, Result: m.run.result}
}
