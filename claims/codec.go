package claims

import (
	"fmt"

	"github.com/google/uuid"
	"github.com/hashicorp/go-msgpack/v2/codec"

	"github.com/figring/figring/model"
)

// storedBatch is the value of one row. It is encoded as a MessagePack array
// without field names, so that the order of the fields is the format.
type storedBatch struct {
	// Attempt identifies the write attempt that wrote the row, so that the
	// writer recognises its own row.
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

var msgpackHandle = newMsgpackHandle()

func newMsgpackHandle() *codec.MsgpackHandle {
	handle := &codec.MsgpackHandle{WriteExt: true}
	handle.StructToArray = true
	return handle
}

func encode(attempt string, claims []Claim) ([]byte, error) {
	batch := storedBatch{Attempt: attempt, Claims: make([]storedClaim, 0, len(claims))}
	for _, claim := range claims {
		batch.Claims = append(batch.Claims, storedClaim{
			Caller:        claim.Key.Caller,
			ID:            claim.Key.ID[:],
			Digest:        claim.Digest,
			Tasks:         claim.Tasks,
			ClaimedUnixMs: claim.ClaimedUnixMs,
			Adoptions:     claim.Adoptions,
		})
	}
	var value []byte
	err := codec.NewEncoderBytes(&value, msgpackHandle).Encode(&batch)
	return value, err
}

func decode(value []byte) (string, []Claim, error) {
	var batch storedBatch
	if err := codec.NewDecoderBytes(value, msgpackHandle).Decode(&batch); err != nil {
		return "", nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	claims := make([]Claim, 0, len(batch.Claims))
	for _, stored := range batch.Claims {
		id, err := uuid.FromBytes(stored.ID)
		if err != nil {
			return "", nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
		}
		claims = append(claims, Claim{
			Key:           model.JobKey{Caller: stored.Caller, ID: id},
			Digest:        stored.Digest,
			Tasks:         stored.Tasks,
			ClaimedUnixMs: stored.ClaimedUnixMs,
			Adoptions:     stored.Adoptions,
		})
	}
	return batch.Attempt, claims, nil
}
