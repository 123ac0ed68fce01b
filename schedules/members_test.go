package schedules

import (
	"context"
	"errors"
	"slices"
	"strings"

	"github.com/figring/figring/decision/ownership"
	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
)

const assignmentKey = "assignment"

// members is an entry's view of the sessions and the assignment of partitions.
type members struct {
	assignment ownership.Assignment
	version    int64
	live       map[model.Incarnation]bool
	held       map[int]bool
	blocked    map[int]bool
	inDoubt    bool
	doubt      int64
	leaving    bool
}

// reading is the result of one read of the assignment and the sessions.
type reading struct {
	assignment ownership.Assignment
	version    int64
	sessions   []ownership.Session
}

// observe reads the assignment and the sessions and commits the changes that this
// entry should make.
func (e *entry) observe() {
	sent := e.now()
	e.w.readAt(e, func() any { return e.w.readMembers() }, func(read any) {
		if e.fenced || e.closing {
			return
		}
		found := read.(reading)
		if e.lease().IsZero() {
			e.monitor.Reset()
		}
		e.monitor.Observe(found.sessions, sent, e.now())
		live, expired := e.split(found.sessions)
		e.publish(found.assignment, found.version, live)
		e.propose(found, live, ownership.Plan(found.assignment, live, expired, e.self, e.now()))
	})
}

func (w *simulation) readMembers() reading {
	var found reading
	if row := w.table.read(assignmentKey); row.Version != 0 {
		found.version = row.Version
		found.assignment = w.decodeAssignment(row)
	}
	for _, row := range w.table.list("sessions/") {
		found.sessions = append(found.sessions, ownership.Session{
			Incarnation: model.Incarnation(strings.TrimPrefix(row.Key, "sessions/")),
			Leaving:     decode[sessionRow](row.Value).Leaving,
			Version:     row.Version,
		})
	}
	return found
}

// decodeAssignment decodes each version of the row once.
func (w *simulation) decodeAssignment(row store.Row) ownership.Assignment {
	if w.decodedVersion != row.Version {
		w.decodedVersion = row.Version
		w.decoded = decode[ownership.Assignment](row.Value)
	}
	return w.decoded
}

func (e *entry) split(sessions []ownership.Session) (live, expired []ownership.Session) {
	for _, one := range sessions {
		self := one.Incarnation == e.self
		one.Leaving = one.Leaving || (self && e.members.leaving)
		if !self && e.monitor.Expired(one, e.now()) {
			expired = append(expired, one)
		} else {
			live = append(live, one)
		}
	}
	return live, expired
}

func (e *entry) publish(assignment ownership.Assignment, version int64, live []ownership.Session) {
	m := &e.members
	m.assignment, m.version = assignment, version
	m.live = make(map[model.Incarnation]bool)
	for _, one := range live {
		m.live[one.Incarnation] = true
	}
	for p := range m.held {
		if assignment.Partitions[p].Owner != e.self {
			delete(m.held, p)
		}
	}
	if version != m.doubt {
		m.inDoubt = false
	}
}

// propose commits a proposal. Partitions that the proposal takes from this entry
// are released first. If one of them has a claim with an unknown outcome, nothing
// is committed and the next observation tries again.
func (e *entry) propose(read reading, live []ownership.Session, proposal ownership.Proposal) {
	given := e.release(read, proposal)
	touch := e.unblock(given)
	if e.claimsOpen(given) {
		return
	}
	if !proposal.Changed && len(proposal.Fenced) == 0 && !touch {
		e.acquire()
		return
	}
	e.w.commit(e, "assignment", e.transaction(read.version, proposal), func(reply committed) {
		switch {
		case e.fenced || e.closing:
		case reply.err == nil && read.version >= e.members.version:
			e.publish(proposal.Next, reply.versions[0], live)
			e.acquire()
		case errors.Is(reply.err, store.ErrUnknownOutcome):
			e.members.inDoubt, e.members.doubt = true, read.version
		}
	})
}

func (e *entry) release(read reading, proposal ownership.Proposal) []int {
	var given []int
	for _, p := range read.assignment.Owned(e.self) {
		if proposal.Next.Partitions[p].Owner == e.self {
			continue
		}
		given = append(given, p)
		if !e.members.blocked[p] {
			e.keys.DropPartition(p)
		}
		e.members.blocked[p] = true
		delete(e.members.held, p)
	}
	return given
}

func (e *entry) unblock(given []int) (touch bool) {
	if e.members.inDoubt {
		return true
	}
	clear(e.members.blocked)
	for _, p := range given {
		e.members.blocked[p] = true
	}
	return false
}

func (e *entry) claimsOpen(given []int) bool {
	for _, key := range e.claiming {
		if slices.Contains(given, key.Partition()) {
			return true
		}
	}
	return false
}

func (e *entry) transaction(version int64, proposal ownership.Proposal) store.Txn {
	txn := store.Txn{
		Conditions: []store.Condition{{Key: assignmentKey, Version: version}, e.fence()},
		Writes:     []store.Write{{Key: assignmentKey, Value: encode(proposal.Next)}},
	}
	for _, owner := range proposal.OwnersWithoutSession {
		txn.Conditions = append(txn.Conditions, store.Condition{Key: sessionKey(owner)})
	}
	for _, expired := range proposal.Fenced {
		key := sessionKey(expired.Incarnation)
		txn.Conditions = append(txn.Conditions, store.Condition{Key: key, Version: expired.Version})
		txn.Writes = append(txn.Writes, store.Write{Key: key, Delete: true}, store.Write{Key: fenceKey(expired.Incarnation), Delete: true})
	}
	return txn
}

// acquire loads the claims of the partitions that are assigned to this entry and
// not yet held.
func (e *entry) acquire() {
	var wanted []int
	for _, p := range e.members.assignment.Owned(e.self) {
		if !e.members.held[p] && !e.members.blocked[p] {
			wanted = append(wanted, p)
		}
	}
	if len(wanted) == 0 {
		return
	}
	epochs := e.members.assignment
	formers := append(epochs.FormerOwners(wanted), e.self)
	e.w.readAt(e, func() any { return e.w.readClaims(formers) }, func(read any) {
		for _, p := range wanted {
			current := e.members.assignment.Partitions[p]
			if current.Owner == e.self && current.Epoch == epochs.Partitions[p].Epoch && !e.members.blocked[p] && !e.members.held[p] && !e.fenced && !e.closing {
				e.hold(p, read.([]claimRow))
			}
		}
	})
}

func (e *entry) hold(p int, claims []claimRow) {
	e.keys.BeginLoad(p)
	for _, claim := range claims {
		if key := e.w.keys[claim.Number]; key.Partition() == p {
			e.keys.LoadClaim(key, digest, claim.Claimer, claim.Adoptions)
		}
	}
	e.keys.Serve(p)
	e.members.held[p] = true
}

func (w *simulation) readClaims(formers []model.Incarnation) []claimRow {
	var found []claimRow
	for _, former := range formers {
		page, _ := w.table.List(context.Background(), claimPrefix(former), "", 100)
		for _, row := range page.Rows {
			found = append(found, decode[claimRow](row.Value))
		}
	}
	return found
}
