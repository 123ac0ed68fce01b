package settings

import (
	"fmt"
	"net/netip"
)

// listener is the address of one listener with the name of its setting.
type listener struct {
	field   string
	address string
}

// checkListeners reports two listeners that would take the same port. Port 0
// stands for a free port and never collides.
func checkListeners(listeners []listener) error {
	for i, current := range listeners {
		for _, other := range listeners[:i] {
			if samePort(current.address, other.address) {
				return &Error{Field: current.field, Reason: fmt.Sprintf("%s is taken by %s", current.address, other.field)}
			}
		}
	}
	return nil
}

func samePort(a, b string) bool {
	first, errA := netip.ParseAddrPort(a)
	second, errB := netip.ParseAddrPort(b)
	if errA != nil || errB != nil || first.Port() == 0 || first.Port() != second.Port() {
		return false
	}
	return first.Addr() == second.Addr() || first.Addr().IsUnspecified() || second.Addr().IsUnspecified()
}

// checkAdvertisedAddress reports a missing address for others when the listener's own
// can't be dialled.
func checkAdvertisedAddress(listen, advertise string) error {
	address, err := netip.ParseAddrPort(listen)
	if advertise == "" && err == nil && address.Addr().IsUnspecified() {
		return &Error{Field: "rpcAdvertise", Reason: "must be set when rpcListen has no IP number of its own"}
	}
	return nil
}
