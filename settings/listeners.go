package settings

import (
	"fmt"
	"net/netip"
)

// listener is the address of a listener with the name of its setting.
type listener struct {
	field   string
	address string
}

// checkListeners returns an error if two listeners would bind the same port. Port
// 0 requests any free port and never conflicts.
func checkListeners(listeners []listener) error {
	for i, current := range listeners {
		for _, other := range listeners[:i] {
			if addressesConflict(current.address, other.address) {
				return &Error{Field: current.field, Reason: fmt.Sprintf("%s is already used by %s", current.address, other.field)}
			}
		}
	}
	return nil
}

func addressesConflict(a, b string) bool {
	first, errA := netip.ParseAddrPort(a)
	second, errB := netip.ParseAddrPort(b)
	if errA != nil || errB != nil || first.Port() == 0 || first.Port() != second.Port() {
		return false
	}
	return first.Addr() == second.Addr() || first.Addr().IsUnspecified() || second.Addr().IsUnspecified()
}

// checkAdvertisedAddress returns an error if no address is advertised and the
// listen address is unspecified, so that other processes can't dial it.
func checkAdvertisedAddress(listen, advertise string) error {
	address, err := netip.ParseAddrPort(listen)
	if advertise == "" && err == nil && address.Addr().IsUnspecified() {
		return &Error{Field: "rpcAdvertise", Reason: "must be set when rpcListen is an unspecified address"}
	}
	return nil
}
