package entry

import (
	"slices"

	"github.com/figring/figring/decision/routing"
)

// lookahead looks past queued tasks that no target can take now, so that one
// that fits only a full target does not hold up those behind it. It lasts for
// one round of dispatching: the next one begins with the same tasks in fair
// order, which therefore are the first to get what becomes free.
type lookahead struct {
	// blocked lists the kinds that no target took in this round. A target's
	// room never grows within a round.
	blocked []taskKind
}

// taskKind is what the choice of a target depends on.
type taskKind struct {
	caller string
	class  string
	size   int64
}

func taskKindOf(request routing.Request) taskKind {
	return taskKind{caller: request.Caller, class: request.Class, size: request.Size}
}

func (l *lookahead) isBlocked(kind taskKind) bool {
	return slices.Contains(l.blocked, kind)
}

// pass holds the first queued job back for the rest of the round. It reports
// false when the round is over: nothing has room, or enough was looked past.
func (o *Owner) skipBlocked(l *lookahead, kind taskKind) bool {
	if !l.isBlocked(kind) {
		if len(l.blocked) == 0 && o.router.Capacity(o.now).Room == 0 {
			return false
		}
		l.blocked = append(l.blocked, kind)
	}
	return o.queue.Suspend()
}
