package minion

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/figring/figring/store"
	"github.com/figring/figring/store/announce"
	"github.com/phuslu/log"
)

// announceInterval is the period of the announcements.
const announceInterval = 1 * time.Second

// announceTimeout is the timeout of the HTTP request for one announcement.
const announceTimeout = 1 * time.Second

// announcer sends announcements, which describe the minion, to the sidecar.
type announcer struct {
	url    string
	client *http.Client
	logger *log.Logger
	// lastSucceeded is true if the sidecar accepted the latest announcement. It has
	// no lock because only one goroutine uses the announcer at a time.
	lastSucceeded bool
}

func newAnnouncer(base string, logger *log.Logger) *announcer {
	return &announcer{
		url:    base + announce.Path,
		client: &http.Client{Timeout: announceTimeout, Transport: &http.Transport{}},
		logger: logger,
	}
}

// repeat sends the announcement immediately and then every announceInterval
// until ctx is done. It does not cancel a request in flight, because the sidecar
// might then process that announcement after the next one.
func (a *announcer) repeat(ctx context.Context, announcement store.Announcement) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		a.send(context.WithoutCancel(ctx), announcement)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// send sends the announcement once. It logs the very first success, the first
// success after a failure, and the first failure after a success.
func (a *announcer) send(ctx context.Context, announcement store.Announcement) {
	err := a.post(ctx, announcement)
	if err != nil && a.lastSucceeded {
		a.logger.Warn().Err(err).Msg("announcement to the sidecar failed")
	}
	if err == nil && !a.lastSucceeded {
		a.logger.Info().Str("state", string(announcement.State)).Msg("announcement accepted by the sidecar")
	}
	a.lastSucceeded = err == nil
}

func (a *announcer) post(ctx context.Context, announcement store.Announcement) error {
	body, err := json.Marshal(announcement)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, a.url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := a.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return fmt.Errorf("sidecar answered the announcement with status %d", response.StatusCode)
	}
	return nil
}

func (a *announcer) close() {
	a.client.CloseIdleConnections()
}
