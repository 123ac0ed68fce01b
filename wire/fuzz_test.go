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

// stream is a connection that was given what it reads and keeps what is
// written.
type stream struct {
	io.Reader
	written bytes.Buffer
}

func (s *stream) Write(p []byte) (int, error) { return s.written.Write(p) }

func (s *stream) Close() error { return nil }

// messages are every message between processes, with values in the fields.
func messages() []any {
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

// encoded returns a message as it goes over a connection.
func encoded(tb testing.TB, message any) []byte {
	tb.Helper()
	conn := &stream{Reader: bytes.NewReader(nil)}
	codec := msgpackrpc.NewCodecFromHandle(false, false, conn, handle)
	must.NoError(tb, codec.WriteRequest(&rpc.Request{ServiceMethod: "Sidecar.Run", Seq: 1}, message))
	return conn.written.Bytes()
}

// decoded reads one message into a fresh value of the same type as like.
func decoded(raw []byte, like any) (any, error) {
	codec := msgpackrpc.NewCodecFromHandle(false, false, &stream{Reader: bytes.NewReader(raw)}, handle)
	var header rpc.Request
	if err := codec.ReadRequestHeader(&header); err != nil {
		return nil, err
	}
	fresh := reflect.New(reflect.TypeOf(like).Elem()).Interface()
	return fresh, codec.ReadRequestBody(fresh)
}

// FuzzMessages reads bytes as every message. What decodes is written and read
// again without a change: no field is lost on the way.
func FuzzMessages(f *testing.F) {
	for kind, message := range messages() {
		raw := encoded(f, message)
		f.Add(uint8(kind), raw)
		f.Add(uint8(kind), raw[:len(raw)/2])
	}
	f.Add(uint8(0), []byte{0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, kind uint8, raw []byte) {
		all := messages()
		like := all[int(kind)%len(all)]
		first, err := decoded(raw, like)
		if err != nil {
			return
		}
		second, err := decoded(encoded(t, first), like)
		must.NoError(t, err)
		must.EqOp(t, string(encoded(t, first)), string(encoded(t, second)))
	})
}

// TestMessagesKeepTheirValues checks the round trip of each message.
func TestMessagesKeepTheirValues(t *testing.T) {
	for _, message := range messages() {
		back, err := decoded(encoded(t, message), message)
		must.NoError(t, err)
		must.Eq(t, message, back)
	}
}
