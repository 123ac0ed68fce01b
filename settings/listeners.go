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
	for i, one := range listeners {
		for _, other := range listeners[:i] {
			if collide(one.address, other.address) {
				return &Error{Field: one.field, Reason: fmt.Sprintf("%s is taken by %s", one.address, other.field)}
			}
		}
	}
	return nil
}

func collide(a, b string) bool {
	first, errA := netip.ParseAddrPort(a)
	second, errB := netip.ParseAddrPort(b)
	if errA != nil || errB != nil || first.Port() == 0 || first.Port() != second.Port() {
		return false
	}
	return first.Addr() == second.Addr() || first.Addr().IsUnspecified() || second.Addr().IsUnspecified()
}

// checkAdvertise reports a missing address for others when the listener's own
// can't be dialled.
func checkAdvertise(listen, advertise string) error {
	address, err := netip.ParseAddrPort(listen)
	if advertise == "" && err == nil && address.Addr().IsUnspecified() {
		return &Error{Field: "rpcAdvertise", Reason: "must be set when rpcListen has no IP number of its own"}
	}
	return nil
}
