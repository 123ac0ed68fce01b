package sidecar

import (
	"time"

	"github.com/figring/figring/decision/startgate"
	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
	"github.com/figring/figring/wire"
)

// message is sent by other goroutines to the event loop. Every replyTo channel has
// capacity 1, so that the event loop never blocks on it.
type message interface{ message() }

// runMessage is a Run call from an entry.
type runMessage struct {
	request *wire.RunRequest
	replyTo chan wire.RunReply
}

// attachMessage is an Attach call from an entry.
type attachMessage struct {
	request *wire.AttachRequest
	replyTo chan wire.RunReply
}

// lookupMessage is a Lookup call from an entry.
type lookupMessage struct {
	request *wire.LookupRequest
	replyTo chan wire.LookupReply
}

// withdrawMessage is a Withdraw call from an entry.
type withdrawMessage struct {
	request *wire.WithdrawRequest
	replyTo chan wire.WithdrawReply
}

// revokeMessage is a Revoke call from an entry.
type revokeMessage struct {
	request *wire.RevokeRequest
	replyTo chan wire.RevokeReply
}

// endMessage reports the end of a running task.
type endMessage struct {
	ref model.TaskRef
	run runOutcome
}

// registeredMessage reports that the row of this incarnation has been written.
type registeredMessage struct{ firstIncarnation bool }

// announcementMessage carries an announcement that differs from the previous one.
type announcementMessage struct{ announcement store.Announcement }

// minionLostMessage reports that the minion has stopped announcing itself.
type minionLostMessage struct{}

// renewalStateMessage queries what determines the next renewal at an entry.
type renewalStateMessage struct {
	entry   model.Incarnation
	replyTo chan renewalState
}

// renewalState determines when the next renewal at an entry is due.
type renewalState struct {
	// remaining is how long the entry's permit is still valid.
	remaining time.Duration
	// sinceLastSend is the time since the last message to the entry.
	sinceLastSend time.Duration
	// hasQueued reports whether tasks of the entry are queued.
	hasQueued bool
	// stateVersion increases with every change that entries are told of
	// immediately.
	stateVersion uint64
}

// renewMessage requests the content of the next renewal at an entry. The event loop
// records the number and the send time of the renewal when it replies.
type renewMessage struct {
	entry   model.Incarnation
	replyTo chan wire.RenewRequest
}

// permitMessage carries a permit that a renewal returned.
type permitMessage struct {
	entry  model.Incarnation
	permit wire.Permit
}

// drainMessage starts a graceful shutdown.
type drainMessage struct{}

// statusMessage queries the status.
type statusMessage struct{ replyTo chan status }

// status is shown by the status endpoints. calls also tells a graceful shutdown how
// many calls are open.
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

// event returns the message as an event for the gate.
func (m endMessage) event() startgate.TaskEnded {
	return startgate.TaskEnded{Ref: m.ref, Outcome: m.run.outcome, Result: m.run.result}
}
