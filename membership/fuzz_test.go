package membership

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/store"
	"github.com/figring/figring/wire"
)

// FuzzRowCodec checks that every value that decodes as a session or an assignment keeps
// its encoding when it is encoded and decoded again.
func FuzzRowCodec(f *testing.F) {
	f.Add(encodeSession(SessionRow{Entry: wire.EntryInfo{Name: "e", Incarnation: "e/1", Zone: "z", Address: "127.0.0.1:1"}, Renewals: 3}))
	f.Add([]byte(`{"Leaving":true}`))
	f.Add([]byte(`{`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, value []byte) {
		if row, err := DecodeSession(value); err == nil {
			again, err := DecodeSession(encodeSession(row))
			must.NoError(t, err)
			must.EqOp(t, string(encodeSession(row)), string(encodeSession(again)))
		}
		assignment, err := decodeAssignment(store.Row{Value: value})
		if err != nil {
			return
		}
		again, err := decodeAssignment(store.Row{Value: encodeAssignment(&assignment)})
		must.NoError(t, err)
		must.EqOp(t, string(encodeAssignment(&assignment)), string(encodeAssignment(&again)))
	})
}
