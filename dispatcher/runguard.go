package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/figring/figring/common/boottime"
	"github.com/figring/figring/common/pause"
	"github.com/figring/figring/session"
)

// guardInterval is the pause between two rounds in which the other entries are asked about the
// ownership of this one, while its lease is not valid.
const guardInterval = 400 * time.Millisecond

// ownersView is what one read of the owner rows has shown.
type ownersView struct {
	// owners has the boots of the owners by name, and gone those of entries that have not
	// written their rows for so long that they are gone for good.
	owners, gone map[string]string
}

// hasRevoked reports whether the newest read of the owner rows has shown that an incarnation of
// an entry owns no stored jobs any more. Another entry waits for sidecars that it does not
// reach only after that.
func (s *storedJobs) hasRevoked(owner, boot string) bool {
	seen := s.ownersSeen.Load()
	if seen == nil {
		return false
	}
	known, ok := seen.owners[owner]
	return !ok || known != boot
}

// possibleAdopters returns the names of the entries that could take over the jobs of this one.
// Those that are gone for good could not.
func (s *storedJobs) possibleAdopters() []string {
	var names []string
	seen := s.ownersSeen.Load()
	for _, other := range s.dispatcher.deps.Directory.WithRole(session.RoleEntry) {
		if other.Name == s.dispatcher.settings.Self.Name || seen.isGone(other) {
			continue
		}
		names = append(names, other.Name)
	}
	return names
}

// isGone reports whether the known incarnation of an entry is gone for good.
func (v *ownersView) isGone(entry session.Peer) bool {
	if v == nil {
		return false
	}
	boot, ok := v.gone[entry.Name]
	return ok && processBoot(boot) == entry.Boot
}

// guardRunsLoop asks the other entries about the ownership of this one while its lease is not
// valid, from its first stored job on until ctx ends. As long as all of them confirm it, runs
// of stored jobs go on.
func (s *storedJobs) guardRunsLoop(ctx context.Context) {
	s.awaitRenewal(ctx)
	for ctx.Err() == nil {
		if s.needsConfirmation() {
			s.askOthers(ctx)
		}
		// For fails only when ctx ends, which the loop condition checks.
		_ = pause.For(ctx, guardInterval)
	}
}

// needsConfirmation reports whether there are stored jobs whose lease has ended.
func (s *storedJobs) needsConfirmation() bool {
	needed := false
	s.dispatcher.loop.Do(func(now time.Time) { needed = !s.lease.Valid(now) && len(s.dispatcher.core.UnendedStoredJobs()) > 0 })
	return needed
}

// askOthers asks each entry that could take over the jobs of this one whether it may, and lets
// runs go on according to the answers.
func (s *storedJobs) askOthers(ctx context.Context) {
	var wait sync.WaitGroup
	for _, name := range s.possibleAdopters() {
		wait.Go(func() { s.askOther(ctx, name) })
	}
	wait.Wait()
	s.dispatcher.loop.Do(s.limitRuns)
}

// limitRuns sets until when runs of stored jobs may go on. It must be called from the loop.
func (s *storedJobs) limitRuns(now time.Time) {
	s.dispatcher.core.LetRunUntil(s.runGuard.Until(now, s.possibleAdopters()))
}

// askOther asks one entry. Only its answer counts: a connection that is refused does not show
// that there is no process, as what cuts a network may refuse in its place.
func (s *storedJobs) askOther(ctx context.Context, name string) {
	other, ok := s.dispatcher.deps.Directory.Get(name)
	if !ok {
		return
	}
	var request session.OwnershipRequest
	s.dispatcher.loop.Do(func(time.Time) { request.Owner, request.Boot = s.self().Name, s.self().Boot })
	var reply session.OwnershipReply
	askedAt := boottime.Now()
	err := s.dispatcher.callEntry(ctx, other, session.MethodOwnership, &request, &reply)
	if err == nil && !reply.Revoked {
		s.dispatcher.loop.Do(func(time.Time) { s.runGuard.Confirmed(name, askedAt) })
	}
}
