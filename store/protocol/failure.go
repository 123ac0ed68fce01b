package protocol

import (
	"errors"
	"net/http"

	"github.com/figring/figring/store"
)

// Failure is the body of an error reply, which is any reply with a status other
// than 200.
type Failure struct {
	Code   string `json:"code"`
	Detail string `json:"detail"`
}

// errorMapping is the code and the HTTP status that represent err in a reply.
type errorMapping struct {
	code   string
	status int
	err    error
}

var errorMappings = []errorMapping{
	{"unavailable", http.StatusServiceUnavailable, store.ErrUnavailable},
	{"conflict", http.StatusConflict, store.ErrConflict},
	{"not_found", http.StatusNotFound, store.ErrNotFound},
	{"invalid", http.StatusBadRequest, store.ErrInvalid},
}

// NewFailure returns the status and the body of the reply for err. It returns
// false when the protocol has no code for err, for example ErrUnknownOutcome;
// the server must then close the connection without a reply.
func NewFailure(err error) (int, Failure, bool) {
	for _, mapping := range errorMappings {
		if errors.Is(err, mapping.err) {
			return mapping.status, Failure{Code: mapping.code, Detail: err.Error()}, true
		}
	}
	return 0, Failure{}, false
}

// Err returns the error of package store for the failure, or nil when the
// protocol does not define the combination of status and code.
func (f Failure) Err(status int) error {
	for _, mapping := range errorMappings {
		if f.Code == mapping.code && status == mapping.status {
			return mapping.err
		}
	}
	return nil
}
