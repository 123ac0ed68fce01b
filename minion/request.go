package minion

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Headers of POST /run and of its responses.
const (
	HeaderJob         = "Figring-Job"
	HeaderTask        = "Figring-Task"
	HeaderClass       = "Figring-Class"
	HeaderAttempt     = "Figring-Attempt"
	HeaderStartBefore = "Figring-Start-Before"
	// HeaderNotRun is set to "true" on a response if the task was not started.
	HeaderNotRun = "Figring-Not-Run"
)

// maxPayload is the maximum size in bytes of the payload of a task.
const maxPayload = 16 << 20

// request is a parsed POST /run request.
type request struct {
	job     string
	task    int
	class   string
	attempt int
	// startBefore is the latest start time, or zero if there is none.
	startBefore time.Time
	body        []byte
}

// parseRequest reads the headers and the body of r. If it returns an error, it
// also returns the HTTP status for the response.
func parseRequest(w http.ResponseWriter, r *http.Request) (request, int, error) {
	parsed, err := parseHeaders(r.Header)
	if err != nil {
		return request{}, http.StatusBadRequest, err
	}
	parsed.body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxPayload))
	if err != nil {
		return request{}, http.StatusRequestEntityTooLarge, fmt.Errorf("payload: %w", err)
	}
	return parsed, http.StatusOK, nil
}

func parseHeaders(header http.Header) (request, error) {
	parsed := request{job: header.Get(HeaderJob), class: header.Get(HeaderClass), attempt: 1}
	if parsed.job == "" {
		return request{}, fmt.Errorf("%s is missing", HeaderJob)
	}
	var err error
	parsed.task, err = strconv.Atoi(header.Get(HeaderTask))
	if err != nil {
		return request{}, fmt.Errorf("%s: %w", HeaderTask, err)
	}
	if text := header.Get(HeaderAttempt); text != "" {
		parsed.attempt, err = strconv.Atoi(text)
	}
	if err != nil {
		return request{}, fmt.Errorf("%s: %w", HeaderAttempt, err)
	}
	parsed.startBefore, err = parseStartBefore(header.Get(HeaderStartBefore))
	return parsed, err
}

// parseStartBefore parses the Figring-Start-Before header. It returns the zero time if
// the header is empty.
func parseStartBefore(text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	nanos, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return time.Time{}, fmt.Errorf("%s: %w", HeaderStartBefore, err)
	}
	return time.Unix(0, nanos), nil
}

// tooLate reports whether now is after the latest start time of the task.
func (r request) tooLate(now time.Time) bool {
	return !r.startBefore.IsZero() && now.After(r.startBefore)
}
