package wire

import "github.com/hashicorp/go-msgpack/v2/codec"

// msgpackHandle encodes structs as arrays in the order of their fields, without the
// field names. Fields may be added at the end of a message, but no field may be
// moved or removed while processes of both versions run.
var msgpackHandle = newMsgpackHandle()

func newMsgpackHandle() *codec.MsgpackHandle {
	handle := &codec.MsgpackHandle{WriteExt: true}
	handle.StructToArray = true
	return handle
}
