package runner

import (
	"net/netip"
	"net/url"
)

// loopback is the only network that is sent to.
var loopback = netip.MustParsePrefix("127.0.0.0/8")

// CheckTarget returns an error of class Error unless the URL is plain HTTP to
// an IP number of 127.0.0.0/8.
func CheckTarget(target string) error {
	parsed, err := url.Parse(target)
	if err != nil {
		return Error.Wrap(err)
	}
	if parsed.Scheme != "http" {
		return Error.New("%q: want an http URL", target)
	}
	address, err := netip.ParseAddr(parsed.Hostname())
	if err != nil || !loopback.Contains(address) {
		return Error.New("%q: load goes to IP numbers of %s only", target, loopback)
	}
	return nil
}
