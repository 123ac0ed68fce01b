package command

import (
	"strings"
	"time"
)

// platformTimeout is the timeout of one request to the platform.
const platformTimeout = 10 * time.Second

// advertiseAddress returns the configured address to advertise to other processes,
// or "" if its port is 0: the port is then only known once the listener is open.
func advertiseAddress(address string) string {
	if strings.HasSuffix(address, ":0") {
		return ""
	}
	return address
}
