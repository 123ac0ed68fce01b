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
	certified := httptest.NewTLSServer(http.NotFoundHandler())
	defer certified.Close()
	server := &tls.Config{Certificates: certified.TLS.Certificates}
	client := certified.Client().Transport.(*http.Transport).TLSClientConfig.Clone()
	client.ServerName = "example.com"

	r := newTLSRig(t, 1, memory.NewTable(), server, client)
	r.begin()
	r.eventually("live", func() bool { return r.live() && r.state() == wire.TargetReady })
	r.minion.release <- struct{}{}
	must.Eq(t, wire.RunDone, wait(t, r.run(r.request(0))).Status)

	plain := wire.NewPool(secret, nil, nil)
	defer plain.Close()
	var reply wire.RunReply
	err := plain.Call(t.Context(), r.sidecar.Address(), wire.MethodRun, r.request(1), &reply)
	must.ErrorIs(t, err, wire.ErrNotSent)
}
