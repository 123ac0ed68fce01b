package permit

import "time"

// sentMessage is the number and the send time of one message to an entry.
type sentMessage struct {
	number uint64
	sentAt time.Time
}
