package sidecar

import (
	"context"
	"errors"
	"time"

	"github.com/figring/figring/common/pause"
	"github.com/figring/figring/store"
)

const (
	// minionSilence is how long a minion may say nothing before it is lost.
	minionSilence = 3 * time.Second
	// announceRetry is the wait after a failed read of announcements.
	announceRetry = 100 * time.Millisecond
)

// watch passes changed announcements on, and the silence of the minion.
func (s *Sidecar) watch(ctx context.Context) {
	var last store.Announcement
	present := false
	heard := time.Now()
	for ctx.Err() == nil {
		said, err := s.next(ctx, heard.Add(minionSilence), present)
		switch {
		case err == nil:
			heard = time.Now()
			if !present || said != last {
				_ = s.box.send(minionMessage{said: said})
			}
			last, present = said, true
		case present && time.Since(heard) >= minionSilence:
			_ = s.box.send(minionLostMessage{})
			present = false
		case !errors.Is(err, context.DeadlineExceeded):
			_ = pause.For(ctx, announceRetry)
		}
	}
}

// next waits for an announcement, for a present minion at most until silent.
func (s *Sidecar) next(ctx context.Context, silent time.Time, present bool) (store.Announcement, error) {
	if present {
		bounded, cancel := context.WithDeadline(ctx, silent)
		defer cancel()
		ctx = bounded
	}
	return s.deps.Announcements.Next(ctx)
}
