package wire

import (
	"context"
	"net"

	"github.com/uber-go/tally/v4"

	"github.com/figring/figring/common/metrics"
)

// Traffic counts the bytes read from and written to connections.
type Traffic struct {
	read    tally.Counter
	written tally.Counter
}

// NewTraffic returns a Traffic that reports its counters to scope.
func NewTraffic(scope tally.Scope) *Traffic {
	return &Traffic{
		read:    scope.Counter(metrics.WireReadBytes),
		written: scope.Counter(metrics.WireWrittenBytes),
	}
}

// Dialer returns a dialer whose connections are counted. A nil dialer means a
// net.Dialer.
func (t *Traffic) Dialer(dialer Dialer) Dialer {
	if dialer == nil {
		dialer = &net.Dialer{Timeout: dialTimeout}
	}
	return countingDialer{dialer: dialer, traffic: t}
}

// Listener returns a listener whose connections are counted.
func (t *Traffic) Listener(listener net.Listener) net.Listener {
	return countingListener{Listener: listener, traffic: t}
}

type countingDialer struct {
	dialer  Dialer
	traffic *Traffic
}

// DialContext implements Dialer.
func (d countingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.dialer.DialContext(ctx, network, address)
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
