package answers

import (
	"errors"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/model"
)

// FuzzDecode checks that decode returns ErrCorrupt or answers whose encoding is
// stable: encoding, decoding and encoding them again gives the same bytes.
func FuzzDecode(f *testing.F) {
	batch := []*model.Answer{{
		Key:     model.NewJobKey("caller"),
		State:   model.Complete,
		Outcome: model.Run,
		Results: []model.TaskResult{{Index: 0, Status: 200, Body: []byte("body"), Worker: "w"}},
	}}
	raw, err := encode(batch)
	must.NoError(f, err)
	f.Add(raw)
	f.Add(raw[:len(raw)/2])
	f.Add([]byte{})
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, body []byte) {
		decoded, err := decode(body)
		if err != nil {
			must.True(t, errors.Is(err, ErrCorrupt))
			return
		}
		first, err := encode(decoded)
		must.NoError(t, err)
		again, err := decode(first)
		must.NoError(t, err)
		second, err := encode(again)
		must.NoError(t, err)
		must.EqOp(t, string(first), string(second))
	})
}

// FuzzIndex compares indexContains with a bytewise search for complete hashes.
func FuzzIndex(f *testing.F) {
	f.Add([]byte{1, 0, 0, 0, 0, 0, 0, 0}, uint64(1))
	f.Add([]byte{1, 0, 0, 0, 0, 0, 0}, uint64(1))
	f.Add([]byte{}, uint64(0))
	f.Fuzz(func(t *testing.T, index []byte, hash uint64) {
		found := indexContains(index, hash)
		listed := false
		for begin := 0; begin+hashBytes <= len(index); begin += hashBytes {
			var one uint64
			for offset := hashBytes - 1; offset >= 0; offset-- {
				one = one<<8 | uint64(index[begin+offset])
			}
			listed = listed || one == hash
		}
		must.EqOp(t, listed, found)
	})
}
