package protocol

import (
	"errors"
	"net/http"

	"github.com/figring/figring/store"
)

// Failure is the body of every reply whose status is not 200.
type Failure struct {
	Code   string `json:"code"`
	Detail string `json:"detail"`
}

// kind is one error of the platform as it travels.
type kind struct {
	code   string
	status int
	err    error
}

var kinds = []kind{
	{"unavailable", http.StatusServiceUnavailable, store.ErrUnavailable},
	{"conflict", http.StatusConflict, store.ErrConflict},
	{"not_found", http.StatusNotFound, store.ErrNotFound},
	{"invalid", http.StatusBadRequest, store.ErrInvalid},
}

// NewFailure returns the status and the body for err. It returns false when
// err must be told by closing the connection without a reply.
func NewFailure(err error) (int, Failure, bool) {
	for _, one := range kinds {
		if errors.Is(err, one.err) {
			return one.status, Failure{Code: one.code, Detail: err.Error()}, true
		}
	}
	return 0, Failure{}, false
}

// Err returns the platform's error for the failure, or nil when the status and
// the code are not a pair of this protocol.
func (f Failure) Err(status int) error {
	for _, one := range kinds {
		if f.Code == one.code && status == one.status {
			return one.err
		}
	}
	return nil
}
