package permit

import (
	"sort"
	"time"
)

// maxSentMessages bounds the messages to one entry whose send times are kept.
// A permit that echoes an older message is ignored.
const maxSentMessages = 512

// entryState is what a sidecar records about one entry.
type entryState struct {
	// messages are the newest messages to the entry, in ascending order of number.
	messages []sentMessage
	// expiry is the end of the entry's permit, or zero when it has none.
	expiry time.Time
	// lastUsed is the time of the last message to the entry or accepted permit.
	lastUsed time.Time
	// lastSent is the send time of the newest message to the entry.
	lastSent time.Time
}

// record adds a sent message. When the limit is reached, it drops the older half.
func (e *entryState) record(number uint64, now time.Time) {
	if len(e.messages) == maxSentMessages {
		kept := copy(e.messages, e.messages[maxSentMessages/2:])
		e.messages = e.messages[:kept]
	}
	e.messages = append(e.messages, sentMessage{number: number, sentAt: now})
}

// sentAt returns the send time of a message, or false when it is not recorded.
func (e *entryState) sentAt(number uint64) (time.Time, bool) {
	index := sort.Search(len(e.messages), func(i int) bool { return e.messages[i].number >= number })
	if index == len(e.messages) || e.messages[index].number != number {
		return time.Time{}, false
	}
	return e.messages[index].sentAt, true
}
