package sidecar

import (
	"time"

	"github.com/figring/figring/decision/startgate"
	"github.com/figring/figring/store"
)

// announced takes what the minion says of itself. A minion at another address
// is another minion: what runs at the old one is decided by its own calls.
func (c *core) announced(m minionMessage, now time.Time) {
	said := m.said
	c.connect(said)
	c.target.MemoryBytes = said.MemoryBytes
	if said.State == store.MinionLeaving {
		c.apply(startgate.MinionLeaving{}, now)
		c.tell("minion leaving")
		return
	}
	c.apply(startgate.MinionReady{Slots: said.Slots}, now)
	c.tell("minion ready")
}

func (c *core) connect(said store.Announcement) {
	if c.minion != nil {
		if c.minion.serves(said) {
			return
		}
		c.minion.close()
	}
	c.minion = newMinion(said, c.worker)
}
