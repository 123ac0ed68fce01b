package sidecar

import (
	"context"
	"errors"
	"time"

	"github.com/figring/figring/common/pause"
	"github.com/figring/figring/store"
)

const (
	// minionTimeout is how long a minion may say nothing before it is lost.
	minionTimeout = 3 * time.Second
	// announceRetryDelay is the wait after a failed read of announcements.
	announceRetryDelay = 100 * time.Millisecond
)

// watchMinion passes changed announcements on, and the silence of the minion.
func (s *Sidecar) watchMinion(ctx context.Context) {
	var last store.Announcement
	present := false
	lastHeard := time.Now()
	for ctx.Err() == nil {
		announcement, err := s.nextAnnouncement(ctx, lastHeard.Add(minionTimeout), present)
		switch {
		case err == nil:
			lastHeard = time.Now()
			if !present || announcement != last {
				_ = s.mailbox.send(announcementMessage{announcement: announcement})
			}
			last, present = announcement, true
		case present && time.Since(lastHeard) >= minionTimeout:
			_ = s.mailbox.send(minionLostMessage{})
			present = false
		case !errors.Is(err, context.DeadlineExceeded):
			_ = pause.For(ctx, announceRetryDelay)
		}
	}
}

// nextAnnouncement waits for an announcement, for a present minion at most until silent.
func (s *Sidecar) nextAnnouncement(ctx context.Context, deadline time.Time, present bool) (store.Announcement, error) {
	if present {
		deadlineCtx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		ctx = deadlineCtx
	}
	return s.deps.Announcements.Next(ctx)
}
