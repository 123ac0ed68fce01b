package permit

import "time"

// stamp is the send time of one numbered message.
type stamp struct {
	number uint64
	sent   time.Time
}
