package connguard

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/figring/figring/decision/intake"
)

const (
	// firstBytes is the size of the buffer for a body of unknown or great length.
	firstBytes = 4 << 10
	// largeBody is the size in bytes above which few bodies are decoded at a time.
	largeBody = 32 << 10
	// retryAfter is the time after which a refused client should come again.
	retryAfter = time.Second
)

// Body is the whole body of a request.
type Body struct {
	conn    *httpConn
	content []byte
}

// ReadBody reads the body of a request. It fails with an *http.MaxBytesError if the body
// is larger than limit, with ErrNoRoom or ErrClosed, or as the body's reader does. The
// body's memory counts until Decode.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) (*Body, error) {
	if r.ContentLength > limit {
		w.Header().Set("Connection", "close")
		return nil, &http.MaxBytesError{Limit: limit}
	}
	body := &Body{conn: connOf(r)}
	err := body.read(http.MaxBytesReader(w, r.Body, limit), maxCapacity(r.ContentLength, limit))
	if err == nil && body.conn != nil && !body.conn.guard.enter(body.conn.tracked, intake.Serving) {
		err = ErrClosed
	}
	if err != nil {
		body.release()
		return nil, body.failure(err)
	}
	return body, nil
}

// failure returns ErrClosed instead of the error of reading from a connection that was
// closed because its client gave way.
func (b *Body) failure(err error) error {
	if b.conn != nil && b.conn.hasGivenWay() {
		return ErrClosed
	}
	return err
}

// maxCapacity returns the size of the buffer for a whole body. The server reports the end
// of a body of announced length with its last bytes; others need a byte more.
func maxCapacity(announced, limit int64) int64 {
	if announced >= 0 {
		return announced
	}
	return limit + 1
}

func (b *Body) read(reader io.Reader, most int64) error {
	for {
		if len(b.content) == cap(b.content) {
			if err := b.extend(most); err != nil {
				return err
			}
		}
		n, err := reader.Read(b.content[len(b.content):cap(b.content)])
		b.content = b.content[:len(b.content)+n]
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// extend counts and provides more memory for the body.
func (b *Body) extend(most int64) error {
	wanted := min(max(2*int64(cap(b.content)), firstBytes), max(most, int64(cap(b.content))+1))
	if b.conn != nil {
		if err := b.conn.guard.grow(b.conn.tracked, wanted-int64(cap(b.content))); err != nil {
			return err
		}
	}
	if b.conn != nil && b.conn.guard.pressure.Load() {
		b.conn.guard.garbage.drop(int64(cap(b.content)))
		if wanted >= collectingBytes {
			b.conn.guard.garbage.collect()
		}
	}
	larger := make([]byte, len(b.content), wanted)
	copy(larger, b.content)
	b.content = larger
	return nil
}

// Decode passes the content to decode, which must not keep it, and releases it.
func (b *Body) Decode(decode func([]byte) error) error {
	defer b.release()
	if b.conn != nil && len(b.content) > largeBody {
		b.conn.guard.decoding <- struct{}{}
		defer func() { <-b.conn.guard.decoding }()
	}
	return decode(b.content)
}

// DropBody reads and drops the body of a request that needs none, so that the request
// counts as complete. Its errors are those of ReadBody.
func DropBody(w http.ResponseWriter, r *http.Request, limit int64) error {
	if r.ContentLength == 0 {
		return nil
	}
	body, err := ReadBody(w, r, limit)
	if err == nil {
		body.release()
	}
	return err
}

func (b *Body) release() {
	held := int64(cap(b.content))
	b.content = nil
	if b.conn != nil {
		if b.conn.guard.pressure.Load() {
			b.conn.guard.garbage.drop(held)
		}
		b.conn.guard.release(b.conn.tracked, held)
	}
}

// WriteRefusal answers a request for whose body ReadBody returned ErrNoRoom or ErrClosed,
// and reports whether err was one of them. Nothing of the request was decoded.
func WriteRefusal(w http.ResponseWriter, err error) bool {
	if err != ErrNoRoom && err != ErrClosed {
		return false
	}
	writeNoRoom(w)
	return true
}

func writeNoRoom(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", strconv.Itoa(int(retryAfter.Seconds())))
	w.WriteHeader(http.StatusServiceUnavailable)
}
