package sidecar

import (
	"time"

	"github.com/figring/figring/decision/startgate"
	"github.com/figring/figring/store"
)

// handleAnnouncement takes what the minion says of itself. A minion at another address
// is another minion: what runs at the old one is decided by its own calls.
func (l *eventLoop) handleAnnouncement(m announcementMessage, now time.Time) {
	announcement := m.announcement
	l.updateMinionClient(announcement)
	l.target.MemoryBytes = announcement.MemoryBytes
	if announcement.State == store.MinionLeaving {
		l.apply(startgate.MinionLeaving{}, now)
		l.stateChanged("minion leaving")
		return
	}
	l.apply(startgate.MinionReady{Slots: announcement.Slots}, now)
	l.stateChanged("minion ready")
}

func (l *eventLoop) updateMinionClient(announcement store.Announcement) {
	if l.minion != nil {
		if l.minion.matches(announcement) {
			return
		}
		l.minion.close()
	}
	l.minion = newMinionClient(announcement, l.worker)
}
