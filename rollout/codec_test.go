package rollout

import (
	"testing"

	"github.com/shoenig/test/must"
)

// FuzzDecodeBundle checks that every accepted bundle has a positive version and keeps
// its value when it is encoded and decoded again.
func FuzzDecodeBundle(f *testing.F) {
	f.Add([]byte(`{"version":1,"closedZones":["a"]}`))
	f.Add([]byte(`{"version":1}{}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		decoded, err := decodeBundle(raw)
		if err != nil {
			must.ErrorIs(t, err, ErrCorrupt)
			return
		}
		must.Positive(t, decoded.Version)
		again, err := decodeBundle(encode(decoded))
		must.NoError(t, err)
		must.Eq(t, decoded, again)
	})
}

// FuzzDecodeProposal checks that the version of every accepted proposal follows its
// base.
func FuzzDecodeProposal(f *testing.F) {
	f.Add([]byte(`{"id":"p","base":3,"bundle":{"version":4},"state":"proposed"}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		decoded, err := decodeProposal(raw)
		if err != nil {
			must.ErrorIs(t, err, ErrCorrupt)
			return
		}
		must.EqOp(t, decoded.Base+1, decoded.Bundle.Version)
	})
}
