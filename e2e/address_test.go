package e2e

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
)

// lastAddress numbers the loopback addresses of this test process.
var lastAddress atomic.Int64

// freeAddress returns an address with a free port. Its IP number belongs to
// this test process, so that nothing else takes the port before its user does.
func freeAddress(t testing.TB) string {
	t.Helper()
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", 64+(pid>>8)&63, pid&255, 1+lastAddress.Add(1)%250)
	listener, err := net.Listen("tcp", host+":0")
	must.NoError(t, err)
	address := listener.Addr().String()
	must.NoError(t, listener.Close())
	return address
}
