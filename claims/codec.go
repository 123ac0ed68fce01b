package claims

import (
	"fmt"

	"github.com/google/uuid"
	"github.com/hashicorp/go-msgpack/v2/codec"

	"github.com/figring/figring/model"
)

// storedGroup is the value of one row: arrays without field names.
type storedGroup struct {
	// Attempt tells the writer that a row is its own.
	Attempt string
	Claims  []storedClaim
}

type storedClaim struct {
	Caller        string
	ID            []byte
	Digest        uint64
	Tasks         int
	ClaimedUnixMs int64
	Adoptions     int
}

var handle = newHandle()

func newHandle() *codec.MsgpackHandle {
	handle := &codec.MsgpackHandle{WriteExt: true}
	handle.StructToArray = true
	return handle
}

func encode(attempt string, claims []Claim) ([]byte, error) {
	group := storedGroup{Attempt: attempt, Claims: make([]storedClaim, 0, len(claims))}
	for _, claim := range claims {
		group.Claims = append(group.Claims, storedClaim{
			Caller:        claim.Key.Caller,
			ID:            claim.Key.ID[:],
			Digest:        claim.Digest,
			Tasks:         claim.Tasks,
			ClaimedUnixMs: claim.ClaimedUnixMs,
			Adoptions:     claim.Adoptions,
		})
	}
	var value []byte
	err := codec.NewEncoderBytes(&value, handle).Encode(&group)
	return value, err
}

func decode(value []byte) (string, []Claim, error) {
	var group storedGroup
	if err := codec.NewDecoderBytes(value, handle).Decode(&group); err != nil {
		return "", nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	claims := make([]Claim, 0, len(group.Claims))
	for _, one := range group.Claims {
		id, err := uuid.FromBytes(one.ID)
		if err != nil {
			return "", nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
		}
		claims = append(claims, Claim{
			Key:           model.JobKey{Caller: one.Caller, ID: id},
			Digest:        one.Digest,
			Tasks:         one.Tasks,
			ClaimedUnixMs: one.ClaimedUnixMs,
			Adoptions:     one.Adoptions,
		})
	}
	return group.Attempt, claims, nil
}
