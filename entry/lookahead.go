package entry

import (
	"slices"

	"github.com/figring/figring/decision/routing"
)

// lookahead skips queued tasks that no target can take now, so that a task that
// fits only a full target does not block the tasks behind it. It is used for one
// round of dispatching. The next round starts again with the skipped tasks in fair
// order, so they are the first to get capacity that becomes free.
type lookahead struct {
	// blocked lists the kinds of tasks that no target could take in this round. It
	// stays valid for the round, because the room of a target never grows within a
	// round.
	blocked []taskKind
}

// taskKind holds the properties of a task that determine which targets can take it.
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

// skipBlocked suspends the first queued job for the rest of the round. It reports
// false if the round is over, because no target has room or the queue suspends no
// more jobs.
func (o *Owner) skipBlocked(l *lookahead, kind taskKind) bool {
	if !l.isBlocked(kind) {
		if len(l.blocked) == 0 && o.router.Capacity(o.now).Headroom == 0 {
			return false
		}
		l.blocked = append(l.blocked, kind)
	}
	return o.queue.Suspend()
}
