package answers

import (
	"encoding/binary"
	"fmt"

	"github.com/hashicorp/go-msgpack/v2/codec"

	"github.com/figring/figring/model"
)

// hashBytes is the size of one key's hash in an index row.
const hashBytes = 8

var handle = newHandle()

func newHandle() *codec.MsgpackHandle {
	handle := &codec.MsgpackHandle{WriteExt: true}
	handle.StructToArray = true
	return handle
}

func encode(group []*model.Answer) ([]byte, error) {
	var body []byte
	err := codec.NewEncoderBytes(&body, handle).Encode(group)
	return body, err
}

func decode(body []byte) ([]*model.Answer, error) {
	var group []*model.Answer
	if err := codec.NewDecoderBytes(body, handle).Decode(&group); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return group, nil
}

// encodeIndex returns the hashes of the answers' keys, one after the other.
func encodeIndex(group []*model.Answer) []byte {
	index := make([]byte, 0, len(group)*hashBytes)
	for _, answer := range group {
		index = binary.LittleEndian.AppendUint64(index, answer.Key.Hash())
	}
	return index
}

// indexHas reports whether an index lists the hash.
func indexHas(index []byte, hash uint64) bool {
	for len(index) >= hashBytes {
		if binary.LittleEndian.Uint64(index) == hash {
			return true
		}
		index = index[hashBytes:]
	}
	return false
}
