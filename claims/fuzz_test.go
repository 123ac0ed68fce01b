package claims

import (
	"errors"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/model"
)

// FuzzDecode checks that decode returns ErrCorrupt or claims that stay the same
// when encoded and decoded again.
func FuzzDecode(f *testing.F) {
	raw, err := encode("attempt", []Claim{{Key: model.NewJobKey("caller"), Digest: 9, Tasks: 460, ClaimedUnixMs: 1}})
	must.NoError(f, err)
	f.Add(raw)
	f.Add(raw[:len(raw)/2])
	f.Add([]byte{})
	f.Add([]byte{0x92, 0xa1, 'a', 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, value []byte) {
		attempt, claims, err := decode(value)
		if err != nil {
			must.True(t, errors.Is(err, ErrCorrupt))
			return
		}
		again, err := encode(attempt, claims)
		must.NoError(t, err)
		sameAttempt, sameClaims, err := decode(again)
		must.NoError(t, err)
		must.EqOp(t, attempt, sameAttempt)
		must.Eq(t, claims, sameClaims)
	})
}
