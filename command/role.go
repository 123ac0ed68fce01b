package command

import (
	"strings"
	"time"
)

// platformTimeout bounds one request to the platform.
const platformTimeout = 10 * time.Second

// advertiseAddress returns the configured address for others, or nothing when its
// port is only known once the listener is open.
func advertiseAddress(address string) string {
	if strings.HasSuffix(address, ":0") {
		return ""
	}
	return address
}
