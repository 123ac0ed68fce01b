package e2e

import (
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/minion"
)

const (
	// changeBound is the promise: an accepted change holds from then on.
	changeBound = 3 * time.Second
	// changeWatch is how long a change is watched after that bound.
	changeWatch = 2 * time.Second
)

// closedZone is the availability zone that is taken out: that of sidecar 0.
var closedZone = zoneOf(0)

// zoneFault disturbs the system while a zone is taken out.
type zoneFault struct {
	name string
	// before is done just before the change, after just after it was accepted.
	before func(c *cluster)
	after  func(c *cluster)
	// during is done once the change's bound has passed.
	during func(c *cluster)
}

var zoneFaults = []zoneFault{
	{name: "nothing else"},
	{
		name:   "sidecar cut from one entry",
		before: func(c *cluster) { c.separate(0, 1) },
		during: (*cluster).healLinks,
	},
	{
		name: "sidecar cut from every entry",
		before: func(c *cluster) {
			c.separate(0, 0)
			c.separate(0, 1)
		},
		during: (*cluster).healLinks,
	},
	{
		name:   "sidecar frozen",
		before: func(c *cluster) { c.sidecars[0].signal(syscall.SIGSTOP) },
		during: func(c *cluster) { c.sidecars[0].signal(syscall.SIGCONT) },
	},
	{
		name:   "entry frozen",
		before: func(c *cluster) { c.entries[1].signal(syscall.SIGSTOP) },
		during: func(c *cluster) { c.entries[1].signal(syscall.SIGCONT) },
	},
	{
		name:   "store down after it",
		after:  func(c *cluster) { c.fault(`{"outage":true}`) },
		during: func(c *cluster) { c.fault(`{}`) },
	},
	{
		name:   "store hangs after it",
		after:  func(c *cluster) { c.fault(`{"hang":true}`) },
		during: func(c *cluster) { c.fault(`{}`) },
	},
	{
		name:   "store slow",
		before: func(c *cluster) { c.fault(`{"afterMillis":800}`) },
		during: func(c *cluster) { c.fault(`{}`) },
	},
}

// TestNoStartInRemovedZone takes a zone out under load and faults: from three
// seconds after the change was accepted nothing starts there.
func TestNoStartInRemovedZone(t *testing.T) {
	t.Parallel()
	c := newCluster(t, layout{entries: 2, minions: 3, linked: true})
	caller := newCaller(c)
	running := caller.startLoad(loadShape{callers: 12, tasks: 6, runMs: 60, pick: c.everyEntry()})
	for _, fault := range zoneFaults {
		t.Run(fault.name, func(t *testing.T) { c.takeZoneOut(t, fault) })
	}
	running.stop()
	caller.judge()
}

func (c *cluster) takeZoneOut(t *testing.T, fault zoneFault) {
	c.awaitStartsIn(closedZone, time.Now())
	fault.apply(fault.before, c)
	_, accepted := c.change(0, closeZone(closedZone))
	fault.apply(fault.after, c)
	bound := accepted.Add(changeBound)
	time.Sleep(time.Until(bound) + changeWatch/2)
	fault.apply(fault.during, c)
	// The others go on, and what was held back arrives at the closed zone.
	c.awaitStartsIn(zoneOf(1), time.Now())
	time.Sleep(changeWatch / 2)
	late := startsSince(c.startsIn(closedZone), bound)
	must.SliceEmpty(t, late, must.Sprintf("%d starts after %v", len(late), changeBound))
	last := lastStart(c.startsIn(closedZone))
	t.Logf("last start in the zone: %v after the change was accepted", last.Sub(accepted).Round(time.Millisecond))
	c.change(0, openZone(closedZone))
	c.awaitStartsIn(closedZone, time.Now())
}

func (f zoneFault) apply(step func(*cluster), c *cluster) {
	if step != nil {
		step(c)
	}
}

// TestZoneOutInOut takes a zone out, in and out within a second, and then in,
// out and in: the last change is what holds.
func TestZoneOutInOut(t *testing.T) {
	t.Parallel()
	c := newCluster(t, layout{entries: 2, minions: 2})
	caller := newCaller(c)
	running := caller.startLoad(loadShape{callers: 6, tasks: 6, runMs: 40, pick: c.everyEntry()})
	c.awaitStartsIn(closedZone, time.Now())

	begun := time.Now()
	c.change(0, closeZone(closedZone))
	c.change(1, openZone(closedZone))
	_, accepted := c.change(0, closeZone(closedZone))
	must.Less(t, time.Second, time.Since(begun))
	time.Sleep(changeBound + changeWatch)
	must.SliceEmpty(t, startsSince(c.startsIn(closedZone), accepted.Add(changeBound)))

	c.change(1, openZone(closedZone))
	c.change(0, closeZone(closedZone))
	_, accepted = c.change(1, openZone(closedZone))
	c.awaitStartsIn(closedZone, accepted)
	running.stop()
	caller.judge()
}

// startsIn returns the starts in a zone.
func (c *cluster) startsIn(zone string) []minion.Start {
	c.t.Helper()
	var found []minion.Start
	for _, start := range c.starts() {
		if start.Zone == zone {
			found = append(found, start)
		}
	}
	return found
}

func (c *cluster) awaitStartsIn(zone string, since time.Time) {
	c.t.Helper()
	c.await("starts in "+zone, func() bool { return len(startsSince(c.startsIn(zone), since)) > 0 })
}

func startsSince(starts []minion.Start, since time.Time) []minion.Start {
	var found []minion.Start
	for _, start := range starts {
		if start.StartNs > since.UnixNano() {
			found = append(found, start)
		}
	}
	return found
}

func lastStart(starts []minion.Start) time.Time {
	if len(starts) == 0 {
		return time.Time{}
	}
	return time.Unix(0, starts[len(starts)-1].StartNs)
}
