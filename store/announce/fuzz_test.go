package announce_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/store/announce"
)

// FuzzReceiver checks that Next delivers an announcement if and only if the reply
// had status 204, and that a delivered announcement has a minion name and at least
// one slot.
func FuzzReceiver(f *testing.F) {
	f.Add(`{"minion":"m","state":"ready","address":"127.0.0.1:1","slots":1,"connections":1}`)
	f.Add(`{"minion":"m","state":"leaving","address":"127.0.0.1:1","slots":1,"connections":1,"cores":2}`)
	f.Add(`{"minion":"","state":"ready"}`)
	f.Add(`{"minion":"m","state":"asleep","slots":-1}`)
	f.Add(`{`)
	f.Add(`null`)
	f.Fuzz(func(t *testing.T, body string) {
		receiver := announce.NewReceiver()
		status := post(receiver, http.MethodPost, body)
		cancelled, cancel := context.WithCancel(t.Context())
		cancel()
		got, err := receiver.Next(cancelled)
		if status != http.StatusNoContent {
			must.EqOp(t, http.StatusBadRequest, status)
			must.Error(t, err)
			return
		}
		must.NoError(t, err)
		must.NotEq(t, "", got.Minion)
		must.True(t, got.Slots > 0)
	})
}
