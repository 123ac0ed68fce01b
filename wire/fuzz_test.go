package wire

import (
	"bytes"
	"io"
	"net/rpc"
	"reflect"
	"testing"
	"time"

	msgpackrpc "github.com/hashicorp/net-rpc-msgpackrpc/v2"
	"github.com/shoenig/test/must"

	"github.com/figring/figring/model"
)

// fakeConn is a connection that reads from a given reader and records what is
// written.
type fakeConn struct {
	io.Reader
	written bytes.Buffer
}

func (s *fakeConn) Write(p []byte) (int, error) { return s.written.Write(p) }

func (s *fakeConn) Close() error { return nil }

// sampleMessages returns messages of every type, some with values in their fields.
func sampleMessages() []any {
	permit := Permit{Echo: 7, TTL: time.Second, BundleVersion: 3}
	target := Target{Sidecar: "s", Incarnation: "s/1", Zone: "z", Worker: "w", Address: "127.0.0.1:1", State: TargetReady}
	return []any{
		&RunRequest{Entry: "e/1", Sidecar: "s/1", Permit: permit, Class: "a", Payload: []byte("p"), Timeout: time.Second},
		&RunReply{Status: RunDone, Result: model.TaskResult{Index: 1, Status: 200, Body: []byte("b")}},
		&AttachRequest{}, &LookupRequest{}, &LookupReply{}, &WithdrawRequest{}, &WithdrawReply{},
		&RevokeRequest{}, &RevokeReply{},
		&RenewRequest{Target: target}, &RenewReply{},
		&SubmitRequest{Spec: model.JobSpec{Key: model.JobKey{Caller: "c"}, Tasks: []model.TaskSpec{{Class: "a"}}}},
		&JobReply{Answer: &model.Answer{State: model.Complete}}, &JobReply{Refusal: &model.Refusal{Code: model.CodeInvalid}},
		&JoinRequest{}, &CancelRequest{}, &BundleChangedRequest{Version: 4}, &BundleChangedReply{},
	}
}

// encode returns the bytes of a message on a connection.
func encode(tb testing.TB, message any) []byte {
	tb.Helper()
	conn := &fakeConn{Reader: bytes.NewReader(nil)}
	codec := msgpackrpc.NewCodecFromHandle(false, false, conn, msgpackHandle)
	must.NoError(tb, codec.WriteRequest(&rpc.Request{ServiceMethod: "Sidecar.Run", Seq: 1}, message))
	return conn.written.Bytes()
}

// decode decodes one message into a new value of the type of example.
func decode(raw []byte, example any) (any, error) {
	codec := msgpackrpc.NewCodecFromHandle(false, false, &fakeConn{Reader: bytes.NewReader(raw)}, msgpackHandle)
	var header rpc.Request
	if err := codec.ReadRequestHeader(&header); err != nil {
		return nil, err
	}
	fresh := reflect.New(reflect.TypeOf(example).Elem()).Interface()
	return fresh, codec.ReadRequestBody(fresh)
}

// FuzzMessages decodes arbitrary bytes as messages of every type. A decoded message
// must not change when it is encoded and decoded again, so that no field is lost.
func FuzzMessages(f *testing.F) {
	for kind, message := range sampleMessages() {
		raw := encode(f, message)
		f.Add(uint8(kind), raw)
		f.Add(uint8(kind), raw[:len(raw)/2])
	}
	f.Add(uint8(0), []byte{0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, kind uint8, raw []byte) {
		all := sampleMessages()
		example := all[int(kind)%len(all)]
		first, err := decode(raw, example)
		if err != nil {
			return
		}
		second, err := decode(encode(t, first), example)
		must.NoError(t, err)
		must.EqOp(t, string(encode(t, first)), string(encode(t, second)))
	})
}

// TestMessagesRoundTrip checks that every message is equal to itself after encoding
// and decoding.
func TestMessagesRoundTrip(t *testing.T) {
	for _, message := range sampleMessages() {
		decoded, err := decode(encode(t, message), message)
		must.NoError(t, err)
		must.Eq(t, message, decoded)
	}
}
