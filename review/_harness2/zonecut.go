package main

import (
	"strings"
	"time"

	"github.com/figring/figring/platform/standin"
)

func init() { cases["zonecut"] = playZoneCut }

// cutTime is how long the zone is cut off.
const cutTime = 12 * time.Second

// playZoneCut hands in a kept job at an entry. With trouble, the zone of that entry is cut
// off from the other zones and from the platform's store while the job runs.
func playZoneCut(r *record, trouble bool) int {
	c, err := newCluster(r, zoneNames, fleet(-1))
	if err != nil {
		r.note("%v", err)
		return failed
	}
	defer c.end()
	c.links.identify = true
	if err := c.start(manifestOf(1)); err != nil {
		r.note("%v", err)
		return failed
	}
	if err := c.awaitReady(15 * time.Second); err != nil {
		r.note("%v", err)
		return failed
	}
	time.Sleep(4 * time.Second)
	client := newClients(c)
	id := jobID(1)
	body := jobBody(standin.Spec{WorkMillis: longWork, MilliCPU: 16000}, step{Count: 22, CPU: 16000, MemMB: 64, Estimate: longEstimate})
	if !client.submit(id, 0, body) {
		return failed
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		c.links.set(func(from, to string) bool { return c.zoneOf(from) == zoneNames[0] != (c.zoneOf(to) == zoneNames[0]) })
		r.note("%s is cut off, for %v", zoneNames[0], cutTime)
		time.Sleep(cutTime)
		c.links.heal()
		r.note("the cut is healed")
	}
	time.Sleep(longWork*time.Millisecond + 5*time.Second)
	for i := range c.zones {
		client.state(id, i)
	}
	r.runs(c.ledger)
	overlaps := c.ledger.Overlaps()
	for _, task := range overlaps {
		r.note("two runs of task %s at the same time", task)
	}
	if len(overlaps) > 0 {
		return broken
	}
	return held
}

const (
	longWork     = 14000
	longEstimate = 10000
)

// zoneOf returns the zone of a process; "" for the platform's store.
func (c *cluster) zoneOf(name string) string {
	kind, number, _ := strings.Cut(name, "-")
	index := 0
	for _, digit := range number {
		index = 10*index + int(digit-'0')
	}
	switch kind {
	case "edge":
		return c.zones[index]
	case "side":
		return c.workers[index].zone
	}
	return ""
}
