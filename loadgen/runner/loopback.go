package runner

import (
	"net/netip"
	"net/url"
)

// loopback is the only network to which requests are sent.
var loopback = netip.MustParsePrefix("127.0.0.0/8")

// CheckTarget returns an error of class Error unless target is a plain HTTP URL
// whose host is an IP address in 127.0.0.0/8.
func CheckTarget(target string) error {
	parsed, err := url.Parse(target)
	if err != nil {
		return Error.Wrap(err)
	}
	if parsed.Scheme != "http" {
		return Error.New("%q: the URL scheme must be http", target)
	}
	address, err := netip.ParseAddr(parsed.Hostname())
	if err != nil || !loopback.Contains(address) {
		return Error.New("%q: the host must be an IP address in %s", target, loopback)
	}
	return nil
}
