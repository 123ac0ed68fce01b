package executor

import (
	"context"
	"time"

	"github.com/figring/figring/common/pause"
	"github.com/figring/figring/decision/subset"
	"github.com/figring/figring/session"
	"github.com/figring/figring/session/link"
)

const (
	// announceInterval is how often the sidecar looks whether it has sessions
	// with enough entries.
	announceInterval = 300 * time.Millisecond
	// announceTimeout bounds one announcement.
	announceTimeout = 500 * time.Millisecond
	// maxAnnouncePause bounds the pause between tries at one entry.
	maxAnnouncePause = 5 * time.Second
	// settleTime is the time after the start within which no session is
	// dismissed: the sidecar does not know all entries yet.
	settleTime = 3 * time.Second
)

// announcer keeps the sidecar in touch with enough entries.
type announcer struct {
	executor *Executor
	settled  time.Time
	next     map[string]time.Time
	pauses   map[string]time.Duration
}

// announce asks entries for sessions, and dismisses those that are too many.
func (e *Executor) announce(ctx context.Context) {
	a := &announcer{
		executor: e,
		settled:  time.Now().Add(settleTime),
		next:     make(map[string]time.Time),
		pauses:   make(map[string]time.Duration),
	}
	for ctx.Err() == nil {
		a.round(ctx)
		// The end of ctx ends the loop.
		_ = pause.For(ctx, announceInterval)
	}
}

func (a *announcer) round(ctx context.Context) {
	e := a.executor
	entries := e.deps.Directory.WithRole(session.RoleEntry)
	fleet := subset.Fleet{
		Entries:          entries,
		Sidecars:         max(len(e.deps.Directory.WithRole(session.RoleSidecar)), e.toldSidecars()),
		SidecarsPerEntry: e.settings.SidecarsPerEntry,
	}
	plan := subset.Decide(e.settings.Self, fleet, a.connected, a.resting)
	for _, seed := range e.deps.Directory.Seeds() {
		if !a.resting(seed.Name) {
			plan.Invite = append(plan.Invite, seed)
		}
	}
	for _, entry := range plan.Invite {
		a.invite(ctx, entry)
	}
	if time.Now().After(a.settled) {
		e.setDismissed(plan.Dismiss)
	}
}

func (a *announcer) connected(entry string) bool {
	open := a.executor.connected(entry)
	if open {
		delete(a.pauses, entry)
		delete(a.next, entry)
	}
	return open
}

func (a *announcer) resting(entry string) bool { return time.Now().Before(a.next[entry]) }

// invite makes one try; the entry dials back. A failure needs no line: the
// entry's session tells of its success.
func (a *announcer) invite(ctx context.Context, entry session.Peer) {
	a.pauses[entry.Name] = min(max(a.pauses[entry.Name]*2, announceInterval), maxAnnouncePause)
	a.next[entry.Name] = time.Now().Add(a.pauses[entry.Name])
	e := a.executor
	if err := e.announceTo(ctx, entry); err != nil {
		e.meters.announceFailed.Inc(1)
	}
}

// announceTo tells an entry of the sidecar and the entries that it knows, and
// learns those that the entry knows.
func (e *Executor) announceTo(ctx context.Context, entry session.Peer) error {
	request := session.AnnounceRequest{Peers: append(e.deps.Directory.WithRole(session.RoleEntry), e.settings.Self)}
	var reply session.AnnounceReply
	err := link.CallOnce(ctx, entry.Address, e.settings.Secret, session.MethodAnnounce, &request, &reply, announceTimeout)
	if err != nil {
		return err
	}
	if entry.Boot == "" {
		// A seed has told its name and the others by now.
		e.deps.Directory.Remove(entry)
	}
	e.deps.Directory.Merge(reply.Peers...)
	return nil
}
