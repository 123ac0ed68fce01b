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
	for _, entry := range plan.Invite {
		a.invite(ctx, entry)
	}
	if !e.deps.PeersDiscovered() {
		a.askSeeds(ctx)
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

// invite asks an entry to open a session. As long as the sidecar has not read the table,
// it also exchanges the entries that both know.
func (a *announcer) invite(ctx context.Context, entry session.Peer) {
	e := a.executor
	request := &session.AnnounceRequest{Peers: []session.Peer{e.settings.Self}, Discovered: e.deps.PeersDiscovered()}
	if !request.Discovered {
		request.Peers = append(request.Peers, e.deps.Directory.WithRole(session.RoleEntry)...)
	}
	a.send(ctx, entry, request)
}

// askSeeds asks the seeds which entries there are. It asks for no session: all sidecars
// know the same few seeds.
func (a *announcer) askSeeds(ctx context.Context) {
	for _, seed := range a.executor.deps.Directory.Seeds() {
		if !a.backingOff(seed.Name) {
			a.send(ctx, seed, &session.AnnounceRequest{Peers: []session.Peer{a.executor.settings.Self}, NoSession: true})
		}
	}
}

// send sends one announcement. A failure is counted but not logged: the log line of the
// session shows the success.
func (a *announcer) send(ctx context.Context, entry session.Peer, request *session.AnnounceRequest) {
	a.backoffs[entry.Name] = min(max(a.backoffs[entry.Name]*2, announceInterval), maxAnnounceBackoff)
	a.nextAttempt[entry.Name] = time.Now().Add(a.backoffs[entry.Name])
	e := a.executor
	if err := link.Announce(ctx, entry, e.settings.Secret, request, e.deps.Directory); err != nil {
		e.meters.announceFailed.Inc(1)
	}
}
