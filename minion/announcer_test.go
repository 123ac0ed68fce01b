package minion

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/figring/figring/common/bubble"
	"github.com/figring/figring/store"
	"github.com/phuslu/log"
	"github.com/shoenig/test/must"
)

// fakeSidecar is an HTTP transport that records announcements and answers them
// with status. If status is 0, requests fail.
type fakeSidecar struct {
	status   int
	received []store.Announcement
}

// RoundTrip implements http.RoundTripper.
func (s *fakeSidecar) RoundTrip(request *http.Request) (*http.Response, error) {
	if s.status == 0 {
		return nil, errors.New("refused")
	}
	var announcement store.Announcement
	if err := json.NewDecoder(request.Body).Decode(&announcement); err != nil {
		return nil, err
	}
	s.received = append(s.received, announcement)
	return &http.Response{StatusCode: s.status, Body: io.NopCloser(strings.NewReader(""))}, nil
}

// TestAnnouncer_RepeatsAndLogsChanges checks that announcements repeat every
// second, also after failures, and that only changes between success and failure
// are logged.
func TestAnnouncer_RepeatsAndLogsChanges(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var logged bytes.Buffer
		fake := &fakeSidecar{status: http.StatusNoContent}
		announcer := newAnnouncer("http://sidecar", &log.Logger{Writer: log.IOWriter{Writer: &logged}})
		announcer.client = &http.Client{Transport: fake}
		want := store.Announcement{Minion: "m1", State: store.MinionReady}
		period := func(status int, length time.Duration) int {
			fake.status = status
			before := len(fake.received)
			ctx, cancel := context.WithTimeout(t.Context(), length)
			defer cancel()
			announcer.repeat(ctx, want)
			return len(fake.received) - before
		}
		must.Eq(t, 4, period(http.StatusNoContent, 3500*time.Millisecond))
		must.Eq(t, 0, period(0, 3500*time.Millisecond))
		must.Eq(t, 2, period(http.StatusBadRequest, 1500*time.Millisecond))
		must.Eq(t, 2, period(http.StatusNoContent, 1500*time.Millisecond))
		for _, announcement := range fake.received {
			must.Eq(t, want, announcement)
		}
		must.Eq(t, 2, strings.Count(logged.String(), "announcement accepted by the sidecar"))
		must.Eq(t, 1, strings.Count(logged.String(), "announcement to the sidecar failed"))
	})
}
