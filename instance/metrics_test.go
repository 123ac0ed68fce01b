package instance

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

// scrape returns the metrics served at a status address, or "" if they can't be read.
func scrape(address string) string {
	response, err := http.Get(fmt.Sprintf("http://%s/metrics", address))
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return ""
	}
	return string(raw)
}

// TestAgesAreReported checks the metrics for the time since the last read of the table,
// since the current manifest snapshot was applied, and, at a sidecar, since it last
// heard from each entry.
func TestAgesAreReported(t *testing.T) {
	s := newSystem(t, 1, 1)
	cases := []struct {
		name, address string
		metrics       []string
	}{
		{"entry", s.address(entryHost, s.port+4), []string{"store_age_seconds", "manifest_age_seconds"}},
		{"sidecar", s.address(sidecarHost, s.port+4), []string{"store_age_seconds", "manifest_age_seconds", `executor_entry_age_seconds{entry="entry-0"`}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
				text := scrape(tc.address)
				for _, metric := range tc.metrics {
					if !strings.Contains(text, metric) {
						return false
					}
				}
				return true
			}), wait.Timeout(5*time.Second), wait.Gap(50*time.Millisecond)))
		})
	}
}
