package answers

import (
	"encoding/binary"
	"fmt"

	"github.com/hashicorp/go-msgpack/v2/codec"

	"github.com/figring/figring/model"
)

// hashBytes is the encoded size of one key hash in an index row.
const hashBytes = 8

var msgpackHandle = newMsgpackHandle()

func newMsgpackHandle() *codec.MsgpackHandle {
	handle := &codec.MsgpackHandle{WriteExt: true}
	handle.StructToArray = true
	return handle
}

func encode(batch []*model.Answer) ([]byte, error) {
	var body []byte
	err := codec.NewEncoderBytes(&body, msgpackHandle).Encode(batch)
	return body, err
}

func decode(body []byte) ([]*model.Answer, error) {
	var batch []*model.Answer
	if err := codec.NewDecoderBytes(body, msgpackHandle).Decode(&batch); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return batch, nil
}

// encodeIndex returns the concatenated hashes of the answers' keys, each in
// little-endian byte order.
func encodeIndex(batch []*model.Answer) []byte {
	index := make([]byte, 0, len(batch)*hashBytes)
	for _, answer := range batch {
		index = binary.LittleEndian.AppendUint64(index, answer.Key.Hash())
	}
	return index
}

// indexContains reports whether an index row contains the hash. It ignores an
// incomplete hash at the end of the row.
func indexContains(index []byte, hash uint64) bool {
	for len(index) >= hashBytes {
		if binary.LittleEndian.Uint64(index) == hash {
			return true
		}
		index = index[hashBytes:]
	}
	return false
}
