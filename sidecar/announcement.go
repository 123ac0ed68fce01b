package sidecar

import (
	"time"

	"github.com/figring/figring/decision/startgate"
	"github.com/figring/figring/store"
)

// handleAnnouncement applies an announcement of the minion. An announcement from
// another address is treated as a different minion; tasks still running at the
// old address end with the responses to their own requests.
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

// updateMinionClient replaces the client unless it matches the announcement.
func (l *eventLoop) updateMinionClient(announcement store.Announcement) {
	if l.minion != nil {
		if l.minion.matches(announcement) {
			return
		}
		l.minion.close()
	}
	l.minion = newMinionClient(announcement, l.worker)
}
