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

// sidecar answers announcements in the place of the network.
type sidecar struct {
	status   int
	received []store.Announcement
}

// RoundTrip implements http.RoundTripper.
func (s *sidecar) RoundTrip(request *http.Request) (*http.Response, error) {
	if s.status == 0 {
		return nil, errors.New("refused")
	}
	var one store.Announcement
	if err := json.NewDecoder(request.Body).Decode(&one); err != nil {
		return nil, err
	}
	s.received = append(s.received, one)
	return &http.Response{StatusCode: s.status, Body: io.NopCloser(strings.NewReader(""))}, nil
}

func TestAnnouncer_RepeatsAndLogsChanges(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var logged bytes.Buffer
		to := &sidecar{status: http.StatusNoContent}
		announcer := newAnnouncer("http://sidecar", &log.Logger{Writer: log.IOWriter{Writer: &logged}})
		announcer.client = &http.Client{Transport: to}
		want := store.Announcement{Minion: "m1", State: store.MinionReady}
		period := func(status int, length time.Duration) int {
			to.status = status
			before := len(to.received)
			ctx, cancel := context.WithTimeout(t.Context(), length)
			defer cancel()
			announcer.repeat(ctx, want)
			return len(to.received) - before
		}
		must.Eq(t, 4, period(http.StatusNoContent, 3500*time.Millisecond))
		must.Eq(t, 0, period(0, 3500*time.Millisecond))
		must.Eq(t, 2, period(http.StatusBadRequest, 1500*time.Millisecond))
		must.Eq(t, 2, period(http.StatusNoContent, 1500*time.Millisecond))
		for _, one := range to.received {
			must.Eq(t, want, one)
		}
		must.Eq(t, 2, strings.Count(logged.String(), "sidecar reached"))
		must.Eq(t, 1, strings.Count(logged.String(), "sidecar not reached"))
	})
}
