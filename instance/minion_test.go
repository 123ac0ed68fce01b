package instance

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/platform/standin"
)

// crashPause is the time from the crash of a minion until it is back.
const crashPause = 600 * time.Millisecond

func (s *system) startMinion(i int) {
	life, end := context.WithCancel(context.Background())
	s.t.Cleanup(end)
	s.minions = append(s.minions, s.runMinion(life, i))
}

// runMinion runs a minion until ctx ends, or until a task crashes it; then another takes
// its place after crashPause.
func (s *system) runMinion(ctx context.Context, i int) *standin.Minion {
	minion := standin.NewMinion(fmt.Sprintf("i-%d", i), s.ledger, uint64(i))
	listener, err := net.Listen("tcp", s.address(minionHost+i, s.port))
	must.NoError(s.t, err)
	server := &http.Server{Handler: minion.Handler()}
	go func() { _ = server.Serve(listener) }()
	life, end := context.WithCancel(ctx)
	context.AfterFunc(life, func() { minion.Crash(); _ = server.Close() })
	minion.OnCrash(func() {
		end()
		time.AfterFunc(crashPause, func() {
			if ctx.Err() == nil {
				s.runMinion(ctx, i)
			}
		})
	})
	go s.sendHeartbeats(life, i, minion)
	return minion
}

// sendHeartbeats sends the minion's heartbeats to its executor until ctx ends.
func (s *system) sendHeartbeats(ctx context.Context, i int, minion *standin.Minion) {
	url := fmt.Sprintf("http://%s/-/instances/i-%d/heartbeat", s.address(sidecarHost+i, s.port+1), i)
	for sequence := 1; ctx.Err() == nil; sequence++ {
		body, _ := json.Marshal(map[string]any{
			"service": testService, "state": "ready", "seq": sequence, "born": minion.Born(),
			"capacity": map[string]any{"cpu": 8000, "mem_mb": 1024}, "labels": []string{fmt.Sprintf("rack-%d", i)},
		})
		response, err := http.Post(url, "application/json", bytes.NewReader(body))
		if err == nil {
			_ = response.Body.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeats):
		}
	}
}
