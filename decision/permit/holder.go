package permit

import (
	"sort"
	"time"
)

// stampLimit is the number of messages to one entry whose send times are
// kept. An echo of an older one grants nothing.
const stampLimit = 512

// holder is what a sidecar knows of one entry.
type holder struct {
	// stamps is in ascending order of number.
	stamps []stamp
	expiry time.Time
	used   time.Time
	// lastSent is the time of the last message.
	lastSent time.Time
}

func (h *holder) record(number uint64, now time.Time) {
	if len(h.stamps) == stampLimit {
		kept := copy(h.stamps, h.stamps[stampLimit/2:])
		h.stamps = h.stamps[:kept]
	}
	h.stamps = append(h.stamps, stamp{number: number, sent: now})
}

func (h *holder) sentAt(number uint64) (time.Time, bool) {
	at := sort.Search(len(h.stamps), func(i int) bool { return h.stamps[i].number >= number })
	if at == len(h.stamps) || h.stamps[at].number != number {
		return time.Time{}, false
	}
	return h.stamps[at].sent, true
}
