package schedules

import (
	"errors"
	"time"

	"github.com/figring/figring/decision/ownership"
	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
)

// session is an entry's own view of its session and fence rows.
type session struct {
	version      int64
	fenceVersion int64
	number       int64
	sent         map[int64]time.Time
	lease        ownership.Lease
}

// sessionRow is the value of a session row.
type sessionRow struct {
	Number  int64
	Leaving bool
}

func sessionKey(of model.Incarnation) string { return "sessions/" + string(of) }
func fenceKey(of model.Incarnation) string   { return "fences/" + string(of) }

func (e *entry) fence() store.Condition {
	return store.Condition{Key: fenceKey(e.self), Version: e.session.fenceVersion}
}

// renew writes the session row, and the fence row too until one exists.
func (e *entry) renew() {
	e.session.number++
	number := e.session.number
	e.session.sent[number] = e.now()
	row := sessionRow{Number: number, Leaving: e.members.leaving}
	txn := store.Txn{
		Conditions: []store.Condition{{Key: sessionKey(e.self), Version: e.session.version}},
		Writes:     []store.Write{{Key: sessionKey(e.self), Value: encode(row)}},
	}
	if e.session.fenceVersion == 0 {
		txn.Conditions = append(txn.Conditions, store.Condition{Key: fenceKey(e.self)})
		txn.Writes = append(txn.Writes, store.Write{Key: fenceKey(e.self), Value: []byte("{}")})
	}
	e.w.commit(e, "renew session", txn, func(reply committed) {
		e.renewed(number, reply)
	})
}

func (e *entry) renewed(number int64, reply committed) {
	switch {
	case reply.err == nil && len(reply.versions) > 1:
		e.session.fenceVersion = reply.versions[1]
		e.took(number, reply.versions[0])
	case reply.err == nil:
		e.took(number, reply.versions[0])
	case !errors.Is(reply.err, store.ErrUnavailable):
		e.readSession()
	}
}

// readSession determines which attempt last wrote the session row.
func (e *entry) readSession() {
	read := func() any {
		return [2]store.Row{e.w.table.read(sessionKey(e.self)), e.w.table.read(fenceKey(e.self))}
	}
	e.w.readAt(e, read, func(found any) {
		rows := found.([2]store.Row)
		if rows[0].Version == 0 {
			if e.session.fenceVersion != 0 {
				e.endFenced()
			}
			return
		}
		e.session.fenceVersion = rows[1].Version
		e.took(decode[sessionRow](rows[0].Value).Number, rows[0].Version)
	})
}

// took records the version of the session row and renews the lease from the time
// at which that attempt was sent.
func (e *entry) took(number, version int64) {
	if e.fenced || e.closing || version < e.session.version {
		return
	}
	e.session.version = version
	e.session.lease.Renewed(e.session.sent[number])
}

// endFenced ends this incarnation: its session was taken over.
func (e *entry) endFenced() {
	if e.fenced {
		return
	}
	e.session.lease.Invalidate()
	e.fenced = true
	e.undecided = nil
	for partition := range model.Partitions {
		e.keys.DropPartition(partition)
	}
	for _, one := range e.jobs {
		one.reply(e, moved())
	}
	e.jobs = nil
}

// close ends the session of an entry that owns nothing and has no job.
func (e *entry) close() {
	if e.fenced || e.closing || len(e.jobs) > 0 || len(e.undecided) > 0 || len(e.members.assignment.Owned(e.self)) > 0 {
		return
	}
	e.closing = true
	e.deleteRows()
}

func (e *entry) deleteRows() {
	e.w.commit(e, "close session", store.Txn{
		Conditions: []store.Condition{e.fence()},
		Writes:     []store.Write{{Key: sessionKey(e.self), Delete: true}, {Key: fenceKey(e.self), Delete: true}},
	}, func(reply committed) {
		if reply.err == nil || errors.Is(reply.err, store.ErrConflict) {
			e.ended = true
		}
	})
}
