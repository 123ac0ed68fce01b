package problem

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/figring/figring/model"
)

// ContentType is the media type of RFC 9457.
const ContentType = "application/problem+json"

// typePrefix is the prefix of the URI of each problem type.
const typePrefix = "urn:figring:problem:"

// Details is the problem body of a refused request.
type Details struct {
	Type    string        `json:"type"`
	Title   string        `json:"title"`
	Status  int           `json:"status"`
	Detail  string        `json:"detail"`
	Code    model.Code    `json:"code"`
	Outcome model.Outcome `json:"outcome"`
	// RetryAfterMs is the delay in milliseconds after which to retry; it is absent
	// when a retry is of no use.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
	// CurrentVersion is the version of the bundle in force, after a conflict.
	CurrentVersion *int64 `json:"currentVersion,omitempty"`
}

// From returns the problem body for a refusal.
func From(refusal *model.Refusal) Details {
	return Details{
		Type:         typePrefix + string(refusal.Code),
		Title:        strings.ReplaceAll(string(refusal.Code), "_", " "),
		Status:       Status(refusal.Code),
		Detail:       refusal.Detail,
		Code:         refusal.Code,
		Outcome:      refusal.Outcome,
		RetryAfterMs: roundUp(refusal.RetryAfter, time.Millisecond),
	}
}

// Write writes the refusal as the response, with its status and headers.
func Write(w http.ResponseWriter, refusal *model.Refusal) {
	From(refusal).Write(w)
}

// Write writes the details as the response, with their status and headers.
func (d Details) Write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", ContentType)
	header.Set("Cache-Control", "no-store")
	if d.RetryAfterMs > 0 {
		wait := time.Duration(d.RetryAfterMs) * time.Millisecond
		header.Set("Retry-After", strconv.FormatInt(roundUp(wait, time.Second), 10))
	}
	if d.Status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(d.Status)
	_ = json.NewEncoder(w).Encode(d)
}

// roundUp returns d in units, rounded up. A negative d gives 0.
func roundUp(d, unit time.Duration) int64 {
	if d <= 0 {
		return 0
	}
	return int64((d-1)/unit) + 1
}
