// Package remote implements the table service and the object store as a client of
// the HTTP protocol that package standin documents. It never retries a request. An
// error tells whether the request may have taken effect: a request that was
// certainly not sent fails with ErrUnavailable, a write without a valid reply fails
// with ErrUnknownOutcome whatever the cause, and a read without a valid reply fails
// with ErrUnavailable.
package remote
