package where

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/figring/figring/connguard"
	"github.com/figring/figring/decision/heldjob"
	"github.com/figring/figring/manifest"
	"github.com/figring/figring/platform/front"
)

const (
	// maxAnswering bounds the requests that are answered at a time. A reply may take some
	// hundred kilobytes.
	maxAnswering = 2
	// envelopeBytes is the size of a request beyond that of its job.
	envelopeBytes = 4 << 10
)

// Explainer explains what would become of submissions.
type Explainer interface {
	Snapshot() manifest.Snapshot
	// Explain returns false if the process is about to exit.
	Explain(submission heldjob.Submission) (heldjob.Explanation, bool)
}

// Handler serves the interface.
type Handler struct {
	explainer Explainer
	answering chan struct{}
}

// NewHandler returns a handler that asks the explainer.
func NewHandler(explainer Explainer) *Handler {
	return &Handler{explainer: explainer, answering: make(chan struct{}, maxAnswering)}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	snapshot := h.explainer.Snapshot()
	body, err := connguard.ReadBody(w, r, front.BodyLimit(&snapshot)+envelopeBytes)
	if err != nil {
		rejectUnreadable(w, err)
		return
	}
	var submission heldjob.Submission
	err = body.Decode(func(raw []byte) error {
		submission, err = decodeRequest(raw)
		return err
	})
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	select {
	case h.answering <- struct{}{}:
		defer func() { <-h.answering }()
		h.answer(w, submission)
	default:
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusServiceUnavailable, "other requests are being answered")
	}
}

func (h *Handler) answer(w http.ResponseWriter, submission heldjob.Submission) {
	explained, ok := h.explainer.Explain(submission)
	switch {
	case !ok:
		writeError(w, http.StatusServiceUnavailable, "the dispatcher is about to exit")
	case explained.Answer.Outcome == heldjob.NoRoute:
		writeError(w, http.StatusNotFound, fmt.Sprintf("no route matches host %q and path %q", submission.Host, submission.Path))
	default:
		writeJSON(w, http.StatusOK, newReply(&explained))
	}
}

func rejectUnreadable(w http.ResponseWriter, err error) {
	var tooLarge *http.MaxBytesError
	switch {
	case connguard.WriteRefusal(w, err):
	case errors.As(err, &tooLarge):
		writeError(w, http.StatusRequestEntityTooLarge, err.Error())
	default:
		writeError(w, http.StatusBadRequest, err.Error())
	}
}

// errorBody is the reply to a request that fails.
type errorBody struct {
	Error string `json:"error"`
}

func writeError(w http.ResponseWriter, status int, text string) {
	writeJSON(w, status, errorBody{text})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has gone.
	_ = json.NewEncoder(w).Encode(body)
}
