package sidecar

import (
	"context"
	"errors"
	"time"

	"github.com/figring/figring/common/pause"
	"github.com/figring/figring/store"
)

const (
	// minionTimeout is the time without an announcement after which a minion is
	// considered lost.
	minionTimeout = 3 * time.Second
	// announceRetryDelay is the delay after a failed read of an announcement.
	announceRetryDelay = 100 * time.Millisecond
)

// watchMinion tells the event loop when the announcement changes and when the minion
// is lost.
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

// nextAnnouncement waits for an announcement. If a minion is present, it waits at
// most until deadline.
func (s *Sidecar) nextAnnouncement(ctx context.Context, deadline time.Time, present bool) (store.Announcement, error) {
	if present {
		deadlineCtx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		ctx = deadlineCtx
	}
	return s.deps.Announcements.Next(ctx)
}
