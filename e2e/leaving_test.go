package e2e

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/minion"
	"github.com/figring/figring/store"
	"github.com/figring/figring/store/announce"
)

// leavingFault disturbs the system while a target leaves.
type leavingFault struct {
	name    string
	leave   func(c *cluster)
	disturb func(c *cluster)
	heal    func(c *cluster)
	back    func(c *cluster)
}

func cutOneEntry(c *cluster) { c.separate(0, 1) }

func drainByOperator(c *cluster)   { c.change(0, "/v1/targets/"+sidecarName(0)+"/drain") }
func undrainByOperator(c *cluster) { c.change(0, "/v1/targets/"+sidecarName(0)+"/undrain") }

func leaveByAnnouncement(c *cluster) { c.announcer.say(store.MinionLeaving) }
func backByAnnouncement(c *cluster)  { c.announcer.say(store.MinionReady) }

var leavingFaults = []leavingFault{
	{name: "announced", leave: leaveByAnnouncement, back: backByAnnouncement},
	{name: "announced, one entry cut off", leave: leaveByAnnouncement, disturb: cutOneEntry, heal: (*cluster).healLinks, back: backByAnnouncement},
	{name: "drained, one entry cut off", leave: drainByOperator, disturb: cutOneEntry, heal: (*cluster).healLinks, back: undrainByOperator},
	{
		name:    "drained, sidecar frozen",
		leave:   drainByOperator,
		disturb: func(c *cluster) { c.sidecars[0].signal(syscall.SIGSTOP) },
		heal:    func(c *cluster) { c.sidecars[0].signal(syscall.SIGCONT) },
		back:    undrainByOperator,
	},
}

// TestLeavingTargetGetsNoNewWork lets a target leave under load. Its minion
// takes whatever it is sent, so that only figring keeps work from it.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	t.Parallel()
	c := newCluster(t, layout{entries: 2, minions: 2, linked: true, silentMinion: true})
	caller := newCaller(c)
	running := caller.startLoad(loadShape{callers: 10, tasks: 6, runMs: 60, pick: c.everyEntry()})
	for _, fault := range leavingFaults {
		t.Run(fault.name, func(t *testing.T) { c.letTargetLeave(t, fault) })
	}
	running.stop()
	caller.judge()
}

func (c *cluster) letTargetLeave(t *testing.T, fault leavingFault) {
	c.awaitStartsAt(workerName(0), time.Now())
	c.apply(fault.disturb)
	fault.leave(c)
	left := time.Now()
	time.Sleep(changeBound + changeWatch/2)
	c.apply(fault.heal)
	c.awaitStartsAt(workerName(1), time.Now())
	time.Sleep(changeWatch / 2)
	late := startsSince(c.startsAt(workerName(0)), left.Add(changeBound))
	must.SliceEmpty(t, late, must.Sprintf("%d starts after %v", len(late), changeBound))
	t.Logf("last start there: %v after it left", lastStart(c.startsAt(workerName(0))).Sub(left).Round(time.Millisecond))
	fault.back(c)
	c.awaitStartsAt(workerName(0), time.Now())
}

func (c *cluster) apply(step func(*cluster)) {
	if step != nil {
		step(c)
	}
}

// announcer speaks for the first minion, which does not announce itself.
type announcer struct {
	cluster *cluster
	mu      sync.Mutex
	state   store.AnnouncementState
}

// announceInterval is the interval at which a minion announces itself.
const announceInterval = time.Second

func newAnnouncer(c *cluster) *announcer {
	a := &announcer{cluster: c}
	a.say(store.MinionReady)
	ended := make(chan struct{})
	c.t.Cleanup(func() { close(ended) })
	go func() {
		for {
			select {
			case <-ended:
				return
			case <-time.After(announceInterval):
				_ = a.repeat()
			}
		}
	}()
	return a
}

// say changes the state and announces it at once.
func (a *announcer) say(state store.AnnouncementState) {
	a.cluster.t.Helper()
	a.mu.Lock()
	a.state = state
	a.mu.Unlock()
	must.NoError(a.cluster.t, a.repeat())
}

func (a *announcer) repeat() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	minion := a.cluster.minions[0]
	body, err := json.Marshal(store.Announcement{
		Minion: minion.name, State: a.state, Address: minion.addresses["address"],
		Slots: minionSlots, Connections: 64, Cores: 8, MemoryBytes: 1 << 37,
	})
	if err != nil {
		return err
	}
	one := http.Client{Timeout: announceInterval}
	url := "http://" + a.cluster.sidecarAddresses[0].announce + announce.Path
	response, err := one.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	return response.Body.Close()
}

func (c *cluster) startsAt(worker string) []minion.Start {
	c.t.Helper()
	var found []minion.Start
	for _, start := range c.starts() {
		if start.Worker == worker {
			found = append(found, start)
		}
	}
	return found
}

func (c *cluster) awaitStartsAt(worker string, since time.Time) {
	c.t.Helper()
	c.await("starts at "+worker, func() bool { return len(startsSince(c.startsAt(worker), since)) > 0 })
}
