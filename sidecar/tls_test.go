package sidecar

import (
	"crypto/tls"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/store/memory"
	"github.com/figring/figring/wire"
)

func TestCallsOverTLS(t *testing.T) {
	certServer := httptest.NewTLSServer(http.NotFoundHandler())
	defer certServer.Close()
	server := &tls.Config{Certificates: certServer.TLS.Certificates}
	client := certServer.Client().Transport.(*http.Transport).TLSClientConfig.Clone()
	client.ServerName = "example.com"

	h := newTLSHarness(t, 1, memory.NewTable(), server, client)
	h.start()
	h.eventually("permit and ready", func() bool { return h.hasPermit() && h.state() == wire.TargetReady })
	h.minion.release <- struct{}{}
	must.Eq(t, wire.RunDone, receive(t, h.run(h.request(0))).Status)

	plain := wire.NewPool(secret, nil, nil)
	defer plain.Close()
	var reply wire.RunReply
	err := plain.Call(t.Context(), h.sidecar.Address(), wire.MethodRun, h.request(1), &reply)
	must.ErrorIs(t, err, wire.ErrNotSent)
}
