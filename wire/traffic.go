package wire

import (
	"context"
	"net"

	"github.com/uber-go/tally/v4"

	"github.com/figring/figring/common/metrics"
)

// Traffic counts the bytes of connections.
type Traffic struct {
	read    tally.Counter
	written tally.Counter
}

// NewTraffic returns counters that report to scope.
func NewTraffic(scope tally.Scope) *Traffic {
	return &Traffic{
		read:    scope.Counter(metrics.WireReadBytes),
		written: scope.Counter(metrics.WireWrittenBytes),
	}
}

// Dialer returns a dialer whose connections are counted. A nil inner stands
// for the network itself.
func (t *Traffic) Dialer(inner Dialer) Dialer {
	if inner == nil {
		inner = &net.Dialer{Timeout: dialTimeout}
	}
	return countingDialer{inner: inner, traffic: t}
}

// Listener returns a listener whose connections are counted.
func (t *Traffic) Listener(inner net.Listener) net.Listener {
	return countingListener{Listener: inner, traffic: t}
}

type countingDialer struct {
	inner   Dialer
	traffic *Traffic
}

// DialContext implements Dialer.
func (d countingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.inner.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, traffic: d.traffic}, nil
}

type countingListener struct {
	net.Listener
	traffic *Traffic
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, traffic: l.traffic}, nil
}
