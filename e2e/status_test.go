package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/minion"
)

// entryStatus is the part of an entry's status that the tests look at.
type entryStatus struct {
	Ready         bool
	BundleVersion int64
	Partitions    int
	Owner         struct {
		Jobs    int
		Targets []struct {
			Sidecar string
			State   string
			Open    bool
		}
	}
}

// readyTargets counts the sidecars that take work.
func (s *entryStatus) readyTargets() int {
	ready := 0
	for _, target := range s.Owner.Targets {
		if target.State == "ready" {
			ready++
		}
	}
	return ready
}

func (c *cluster) status(entry int) (entryStatus, error) {
	var status entryStatus
	response, err := http.Get("http://" + c.entryList()[entry].addresses["status"] + "/status")
	if err != nil {
		return status, err
	}
	defer func() { _ = response.Body.Close() }()
	return status, json.NewDecoder(response.Body).Decode(&status)
}

// awaitTargets waits until an entry is ready and that many sidecars are.
func (c *cluster) awaitTargets(entry, targets int) {
	c.t.Helper()
	c.await(fmt.Sprintf("entry %d to know %d targets", entry, targets), func() bool {
		status, err := c.status(entry)
		return err == nil && status.Ready && status.readyTargets() >= targets
	})
}

func (c *cluster) await(what string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(readyLimit)
	for !condition() {
		if time.Now().After(deadline) {
			c.t.Fatalf("waited in vain for %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// ledger returns every start that the minions recorded.
func (c *cluster) ledger() []minion.Start {
	c.t.Helper()
	var all []minion.Start
	for _, one := range c.minions {
		response, err := http.Get("http://" + one.addresses["address"] + "/ledger")
		must.NoError(c.t, err)
		lines := json.NewDecoder(response.Body)
		for lines.More() {
			var start minion.Start
			must.NoError(c.t, lines.Decode(&start))
			all = append(all, start)
		}
		must.NoError(c.t, response.Body.Close())
	}
	return all
}

// startsOf counts the starts of each task of a job.
func (c *cluster) startsOf(key string) map[int]int {
	c.t.Helper()
	counts := make(map[int]int)
	for _, start := range c.ledger() {
		if strings.HasSuffix(start.Job, key) {
			counts[start.Task]++
		}
	}
	return counts
}
