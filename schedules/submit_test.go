package schedules

import (
	"errors"
	"slices"
	"strconv"

	"github.com/figring/figring/decision/adoption"
	"github.com/figring/figring/decision/dedup"
	"github.com/figring/figring/decision/jobstate"
	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
	"github.com/figring/figring/wire"
)

// digest is the body digest of every submission, since each key has only one body.
const digest = 7

// claimRow is the value of a claim row.
type claimRow struct {
	Number    int
	Claimer   model.Incarnation
	Adoptions int
}

func claimPrefix(of model.Incarnation) string { return "claims/" + string(of) + "/" }

func moved() *model.Refusal {
	return &model.Refusal{Code: model.CodeOwnerMoved, Outcome: model.Unknown}
}

// truthful changes the outcome of a refusal from not run to unknown when the entry
// holds no lease, because it can no longer vouch for that.
func (e *entry) truthful(refusal *model.Refusal) *model.Refusal {
	if refusal.Outcome != model.NotRun || e.holdsLease() {
		return refusal
	}
	weaker := *refusal
	weaker.Outcome = model.Unknown
	return &weaker
}

// submit handles a submission.
func (e *entry) submit(key model.JobKey, waits waiter) {
	if e.fenced {
		waits(&answer{refusal: moved(), by: e})
		return
	}
	verdict, record := e.keys.Submit(key, digest, e.now())
	switch verdict {
	case dedup.New:
		e.start(key, waits)
	case dedup.Join:
		e.joinKnown(key, record, waits)
	case dedup.Adopt:
		e.adopt(key, record, waits)
	default:
		waits(&answer{refusal: moved(), by: e})
	}
}

func (e *entry) start(key model.JobKey, waits waiter) {
	if !e.admitting() {
		e.keys.ClaimFailed(key)
		waits(&answer{refusal: e.truthful(unavailable()), by: e})
		return
	}
	e.newJob(key, false, waits)
	e.writeClaim(key, 0)
}

// writeClaim claims a key, for a new job or for the given adoption of one.
func (e *entry) writeClaim(key model.JobKey, adoptions int) {
	e.claiming = append(e.claiming, key)
	number := slices.Index(e.w.keys, key)
	row := claimPrefix(e.self) + key.String() + "-" + strconv.Itoa(adoptions)
	value := encode(claimRow{Number: number, Claimer: e.self, Adoptions: adoptions})
	e.claim(key, store.Txn{
		Conditions: []store.Condition{e.fence(), {Key: row}},
		Writes:     []store.Write{{Key: row, Value: value}},
	}, true)
}

func unavailable() *model.Refusal {
	return model.NewRefusal(model.CodeStoreUnavailable, 0, "the store can't be reached")
}

// claim writes the claim row. A write with an unknown outcome is repeated to
// determine what became of it.
func (e *entry) claim(key model.JobKey, txn store.Txn, first bool) {
	e.w.commit(e, "claim", txn, func(reply committed) {
		switch {
		case reply.err == nil:
			e.claimEnded(key, true, nil)
		case first && errors.Is(reply.err, store.ErrUnavailable):
			e.claimEnded(key, false, unavailable())
		case errors.Is(reply.err, store.ErrConflict):
			e.judgeConflict(key, txn)
		default:
			e.claimUnknown(key)
			e.later(func() { e.claim(key, txn, false) })
		}
	})
}

// claimUnknown answers the waiting callers. The job continues when the outcome of
// the claim is known.
func (e *entry) claimUnknown(key model.JobKey) {
	if one := e.jobOf(key); one != nil {
		one.reply(e, &model.Refusal{Code: model.CodeStoreUnavailable, Outcome: model.Unknown})
	}
}

func (e *entry) judgeConflict(key model.JobKey, txn store.Txn) {
	if e.w.table.out {
		e.later(func() { e.claim(key, txn, false) })
		return
	}
	if e.w.table.read(txn.Writes[0].Key).Version == 0 {
		e.claimEnded(key, false, moved())
		return
	}
	e.claimEnded(key, true, nil)
}

func (e *entry) claimEnded(key model.JobKey, written bool, refusal *model.Refusal) {
	e.claiming = slices.DeleteFunc(e.claiming, func(one model.JobKey) bool { return one == key })
	one := e.jobOf(key)
	switch {
	case one != nil && one.adopting:
		e.adoptionClaimed(one, written)
	case written && one != nil:
		e.keys.Claimed(key)
		e.apply(one, jobstate.Claimed{})
		e.dispatch()
	case written:
	default:
		e.keys.ClaimFailed(key)
		if one != nil {
			e.forget(one)
			one.reply(e, e.truthful(refusal))
		}
	}
}

// joinKnown answers a submission from an existing record of this entry.
func (e *entry) joinKnown(key model.JobKey, record dedup.Record, waits waiter) {
	one := e.jobOf(key)
	switch {
	case record.Answer != nil && record.Answer.State == model.Failed && !e.holdsLease():
		waits(&answer{refusal: &model.Refusal{Code: model.CodeStoreUnavailable, Outcome: model.Unknown}, by: e})
	case record.Answer != nil:
		waits(&answer{terminal: record.Answer, by: e, underLease: e.holdsLease()})
	case one != nil:
		one.waiters = append(one.waiters, waits)
	default:
		waits(&answer{refusal: &model.Refusal{Code: model.CodeInProgress, Outcome: model.InProgress}, by: e})
	}
}

// adopt handles a submission whose key another entry has claimed: it asks a live
// claimer and takes the job over from a dead one.
func (e *entry) adopt(key model.JobKey, record dedup.Record, waits waiter) {
	if e.members.live[record.Claimer] {
		e.askClaimer(key, record.Claimer, waits)
		return
	}
	if !e.admitting() {
		waits(&answer{refusal: &model.Refusal{Code: model.CodeStoreUnavailable, Outcome: model.Unknown}, by: e})
		return
	}
	e.keys.Adopted(key)
	one := e.newJob(key, true, waits)
	one.adopting, one.claimer = true, record.Claimer
	e.writeClaim(key, record.Adoptions+1)
}

// adoptionClaimed continues an adoption after its claim, or undoes it if the claim
// was not written.
func (e *entry) adoptionClaimed(one *job, written bool) {
	if !written {
		e.adoptLater(one)
		return
	}
	one.adopting = false
	e.lookInto(one)
}

func (e *entry) lookInto(one *job) {
	key := one.key
	failed := func() { e.lookAgain(one) }
	e.w.readOr(e, failed, func() any { return e.w.readOrphan(one.claimer, key) }, func(read any) {
		found := read.(orphan)
		if found.answer != nil {
			e.takeStored(key, found.answer)
			return
		}
		e.lookupAll(key, found.sidecars)
	})
}

// lookAgain retries a read that the table did not answer.
func (e *entry) lookAgain(one *job) {
	if e.jobOf(one.key) != one {
		return
	}
	one.reply(e, &model.Refusal{Code: model.CodeStoreUnavailable, Outcome: model.Unknown})
	e.later(func() {
		if e.jobOf(one.key) == one {
			e.lookInto(one)
		}
	})
}

// adoptLater undoes an adoption whose claim was not written.
func (e *entry) adoptLater(one *job) {
	if e.jobOf(one.key) != one {
		return
	}
	e.keys.Released(one.key)
	e.forget(one)
	one.reply(e, &model.Refusal{Code: model.CodeStoreUnavailable, Outcome: model.Unknown})
}

func (e *entry) askClaimer(key model.JobKey, claimer model.Incarnation, waits waiter) {
	to := e.w.entryOf(claimer)
	lost := func() { waits(&answer{refusal: moved(), by: e}) }
	if to == nil {
		lost()
		return
	}
	e.w.post(message{to: to, what: "join", lost: lost, act: func() {
		record, known := to.keys.Lookup(key)
		if !known || record.State == dedup.ClaimedElsewhere {
			lost()
			return
		}
		to.joinKnown(key, record, waits)
	}})
}

// orphan is the table's information on a job whose owner is gone: the stored
// answer, if any, and the registered sidecars.
type orphan struct {
	answer   *model.Answer
	sidecars []model.Incarnation
}

func (w *simulation) readOrphan(claimer model.Incarnation, key model.JobKey) orphan {
	found := orphan{answer: w.storedAnswer(claimer, key)}
	if found.answer == nil {
		w.checker.missed[key] = true
	}
	for _, row := range w.table.list("sidecars/") {
		found.sidecars = append(found.sidecars, decode[sidecarRow](row.Value).Incarnation)
	}
	return found
}

func (e *entry) takeStored(key model.JobKey, stored *model.Answer) {
	one := e.jobOf(key)
	if one == nil {
		return
	}
	e.finish(one, stored)
}

// lookupAll queries all registered sidecars and adopts the job when each of them
// has answered or is counted as lost.
func (e *entry) lookupAll(key model.JobKey, rows []model.Incarnation) {
	found := make([]adoption.Sidecar, len(rows))
	left := len(rows)
	for index, row := range rows {
		end := once(func(reply *wire.LookupReply) {
			found[index].Reply = reply
			left--
			if one := e.jobOf(key); left == 0 && one != nil {
				e.apply(one, adoption.Summarize(key, found))
				e.dispatch()
			}
		})
		e.lookup(key, row, end)
	}
}

func (e *entry) lookup(key model.JobKey, at model.Incarnation, end func(*wire.LookupReply)) {
	to := e.w.sidecarOf(at)
	lost := func() { end(nil) }
	if to == nil {
		lost()
		return
	}
	e.w.post(message{to: to, what: "lookup", lost: lost, act: func() {
		reply := to.lookup(key)
		e.w.post(message{to: e, what: "lookup reply", lost: lost, act: func() { end(&reply) }})
	}})
}
