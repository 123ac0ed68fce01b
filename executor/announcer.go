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
	// announceInterval is the interval at which the sidecar checks whether it has
	// sessions with enough entries.
	announceInterval = 300 * time.Millisecond
	// maxAnnounceBackoff bounds the delay between announcements to one entry.
	maxAnnounceBackoff = 5 * time.Second
	// dismissalDelay is the time after the start during which no session is
	// dismissed, because the sidecar does not know all entries yet.
	dismissalDelay = 3 * time.Second
)

// announcer sees to it that the sidecar has sessions with enough entries and not
// with too many.
type announcer struct {
	executor    *Executor
	dismissFrom time.Time
	nextAttempt map[string]time.Time
	backoffs    map[string]time.Duration
}

// announce asks entries to open sessions, and dismisses surplus sessions, until
// ctx ends.
func (e *Executor) announce(ctx context.Context) {
	a := &announcer{
		executor:    e,
		dismissFrom: time.Now().Add(dismissalDelay),
		nextAttempt: make(map[string]time.Time),
		backoffs:    make(map[string]time.Duration),
	}
	for ctx.Err() == nil {
		a.runRound(ctx)
		// For fails only when ctx ends, which the loop condition checks.
		_ = pause.For(ctx, announceInterval)
	}
}

func (a *announcer) runRound(ctx context.Context) {
	e := a.executor
	entries := e.deps.Directory.WithRole(session.RoleEntry)
	fleet := subset.Fleet{
		Entries:          entries,
		Sidecars:         max(len(e.deps.Directory.WithRole(session.RoleSidecar)), e.maxKnownSidecars()),
		SidecarsPerEntry: e.settings.SidecarsPerEntry,
	}
	plan := subset.PlanSessions(e.settings.Self, fleet, a.connected, a.backingOff)
	for _, seed := range e.deps.Directory.Seeds() {
		if !a.backingOff(seed.Name) {
			plan.Invite = append(plan.Invite, seed)
		}
	}
	for _, entry := range plan.Invite {
		a.invite(ctx, entry)
	}
	if time.Now().After(a.dismissFrom) {
		e.setDismissed(plan.Dismiss)
	}
}

func (a *announcer) connected(entry string) bool {
	open := a.executor.connected(entry)
	if open {
		delete(a.backoffs, entry)
		delete(a.nextAttempt, entry)
	}
	return open
}

func (a *announcer) backingOff(entry string) bool { return time.Now().Before(a.nextAttempt[entry]) }

// invite sends one announcement, on which the entry opens a session. A failure
// is counted but not logged: the log line of the session shows the success.
func (a *announcer) invite(ctx context.Context, entry session.Peer) {
	a.backoffs[entry.Name] = min(max(a.backoffs[entry.Name]*2, announceInterval), maxAnnounceBackoff)
	a.nextAttempt[entry.Name] = time.Now().Add(a.backoffs[entry.Name])
	e := a.executor
	if err := e.announceTo(ctx, entry); err != nil {
		e.meters.announceFailed.Inc(1)
	}
}

// announceTo sends an entry the sidecar's own address and the entries that the
// sidecar knows, and merges the peers that the entry knows into the directory.
func (e *Executor) announceTo(ctx context.Context, entry session.Peer) error {
	peers := append(e.deps.Directory.WithRole(session.RoleEntry), e.settings.Self)
	return link.Announce(ctx, entry, e.settings.Secret, peers, e.deps.Directory)
}
