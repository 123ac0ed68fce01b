package wire

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/uber-go/tally/v4"

	"github.com/figring/figring/common/metrics"
)

// TestTrafficCountsReadAndWrittenBytes sends bytes in both directions over a connection
// whose two ends are counted in separate scopes.
func TestTrafficCountsReadAndWrittenBytes(t *testing.T) {
	clientScope, serverScope := tally.NewTestScope("", nil), tally.NewTestScope("", nil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	counted := NewTraffic(serverScope).Listener(listener)
	defer func() { _ = counted.Close() }()
	done := make(chan error, 1)
	go func() {
		conn, err := counted.Accept()
		if err == nil {
			_, err = io.ReadFull(conn, make([]byte, 5))
			_, _ = conn.Write([]byte("abc"))
			_ = conn.Close()
		}
		done <- err
	}()
	conn, err := NewTraffic(clientScope).Dialer(nil).DialContext(context.Background(), "tcp", listener.Addr().String())
	must.NoError(t, err)
	_, err = conn.Write([]byte("12345"))
	must.NoError(t, err)
	got, err := io.ReadAll(conn)
	must.NoError(t, err)
	must.NoError(t, conn.Close())
	must.NoError(t, <-done)
	must.Eq(t, "abc", string(got))
	for _, c := range []struct {
		scope tally.TestScope
		name  string
		want  int64
	}{{clientScope, metrics.WireReadBytes, 3}, {clientScope, metrics.WireWrittenBytes, 5}, {serverScope, metrics.WireReadBytes, 5}, {serverScope, metrics.WireWrittenBytes, 3}} {
		must.Eq(t, c.want, c.scope.Snapshot().Counters()[c.name+"+"].Value())
	}
}
