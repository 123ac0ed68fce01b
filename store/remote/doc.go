// Package remote implements the platform's services as a client of the HTTP
// protocol that package standin describes. It never repeats a request. An
// error says what is known about the effect: a request that provably was not
// sent is ErrUnavailable; a write without a valid reply is ErrUnknownOutcome,
// whatever the cause; a read without a valid reply is ErrUnavailable.
package remote
