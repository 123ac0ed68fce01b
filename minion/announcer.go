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

// announceInterval is the time between two announcements.
const announceInterval = 1 * time.Second

// announceTimeout bounds one announcement.
const announceTimeout = 1 * time.Second

// announcer tells the sidecar what the minion says of itself.
type announcer struct {
	url    string
	client *http.Client
	logger *log.Logger
	// reached is whether the last announcement arrived. Only one goroutine
	// uses the announcer at a time.
	reached bool
}

func newAnnouncer(base string, logger *log.Logger) *announcer {
	return &announcer{
		url:    base + announce.Path,
		client: &http.Client{Timeout: announceTimeout, Transport: &http.Transport{}},
		logger: logger,
	}
}

// repeat announces at once and then in each interval, until ctx ends. It does
// not cut off an announcement under way, because the sidecar might take it in
// after the next one.
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

// send announces once, and logs when the sidecar becomes reachable or stops
// being so.
func (a *announcer) send(ctx context.Context, announcement store.Announcement) {
	err := a.post(ctx, announcement)
	if err != nil && a.reached {
		a.logger.Warn().Err(err).Msg("sidecar not reached")
	}
	if err == nil && !a.reached {
		a.logger.Info().Str("state", string(announcement.State)).Msg("sidecar reached")
	}
	a.reached = err == nil
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
		return fmt.Errorf("announcement answered with status %d", response.StatusCode)
	}
	return nil
}

func (a *announcer) close() {
	a.client.CloseIdleConnections()
}
