package instance

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/figring/figring/common/eventlog"
	"github.com/figring/figring/decision/execution"
	"github.com/figring/figring/executor"
	"github.com/figring/figring/platform/minions"
	"github.com/figring/figring/platform/standin"
	"github.com/figring/figring/session"
	"github.com/figring/figring/session/link"
	"github.com/figring/figring/work"
)

// deadlyJob returns the body of a best-effort job whose only task crashes each minion that
// starts it.
func deadlyJob() map[string]any {
	spec, _ := json.Marshal(standin.Spec{WorkMillis: 200, Crash: true})
	body := job(1, 1000, 200*time.Millisecond)
	body["spec"] = string(spec)
	return body
}

// TestDeadlyJobIsGivenUpAndItsNeighboursAreNot guards against a task that crashes minion
// after minion and is given up never, or together with what ran beside it; and against an
// entry that starts it anew because another one has given it up.
func TestDeadlyJobIsGivenUpAndItsNeighboursAreNot(t *testing.T) {
	const (
		deadly     = "dead000000000001"
		neighbours = 60
		// startsAllowed is fewer than three starts after three minions have crashed.
		startsAllowed = 5
	)
	s := newSystem(t, 6, 2)
	var group sync.WaitGroup
	answers := make([]answer, neighbours)
	for i := range neighbours {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			answers[i] = s.submitUntilServed(s.entries[i%2], fmt.Sprintf("%016x", 0x1000+i), job(2, 500, 300*time.Millisecond))
		})
	}
	time.Sleep(300 * time.Millisecond)
	given := s.submitUntilServed(s.entries[0], deadly, deadlyJob())
	must.EqOp(t, http.StatusOK, given.status)
	must.EqOp(t, "failed", given.state)
	starts := s.starts(deadly)
	must.LessEq(t, startsAllowed, starts)
	given = s.submitUntilServed(s.entries[1], deadly, deadlyJob())
	must.EqOp(t, "failed", given.state)
	must.EqOp(t, starts, s.starts(deadly))
	group.Wait()
	for i := range neighbours {
		must.EqOp(t, "completed", answers[i].state)
	}
	must.SliceEmpty(t, s.ledger.Overlaps())
}

// TestEntryOfEarlierBuildIsToldOfCrashesOnce guards against polls that are answered at once
// for as long as a crash is kept, because the entry doesn't say that it knows of the crash.
func TestEntryOfEarlierBuildIsToldOfCrashesOnce(t *testing.T) {
	s := newSystem(t, 1, 1)
	ctx := t.Context()
	go s.submit(s.entries[0], "dead000000000002", deadlyJob())
	must.Wait(t, wait.InitialSuccess(
		wait.BoolFunc(func() bool { return strings.Contains(s.logs.String(), string(eventlog.KindMinionCrashed)) }),
		wait.Timeout(5*time.Second), wait.Gap(10*time.Millisecond),
	))
	client, err := link.Dial(ctx, s.address(sidecarHost, s.port), testSecret)
	must.NoError(t, err)
	defer client.Close()
	hello := session.HelloRequest{Entry: session.Peer{Name: "earlier", Boot: "1", Role: session.RoleEntry}, Sidecar: "side-0"}
	var opened session.HelloReply
	must.NoError(t, client.Call(ctx, session.MethodHello, &hello, &opened, time.Second))
	told, polls, stamp := 0, 0, opened.Stamp
	for until := time.Now().Add(time.Second); time.Now().Before(until); polls++ {
		var reply session.PollReply
		must.NoError(t, client.Call(ctx, session.MethodPoll, &session.PollRequest{Echo: stamp, Wait: 200 * time.Millisecond}, &reply, time.Second))
		stamp = reply.Stamp
		if len(reply.Crashes) > 0 {
			told++
		}
	}
	must.Positive(t, told)
	must.Less(t, 40, polls)
}

// TestCrashingMinionReportsNothing guards against a fake minion that reports how its runs
// end while it crashes, so that tests of crashes see ends instead.
func TestCrashingMinionReportsNothing(t *testing.T) {
	const (
		crashes = 24
		lease   = 900
	)
	s := newSystem(t, 0, 0)
	spec, err := json.Marshal(standin.Spec{WorkMillis: 500, Crash: true})
	must.NoError(t, err)
	start := execution.Start{Task: work.TaskKey{Job: "dead000000000003"}, Number: 1, Spec: string(spec), Fence: 1}
	list := executor.ListRequest{Number: 1, Fence: 1, Lease: lease, Wait: time.Second, Grace: time.Second}
	started := 0
	for i := range crashes {
		s.startMinion(i)
		client := minions.NewClient(s.address(minionHost+i, s.port))
		t.Cleanup(client.Close)
		outcome, _ := client.Start(t.Context(), "", start, lease)
		if outcome != execution.Started {
			continue
		}
		started++
		// A request that fails returns an empty listing.
		listing, _, _ := client.List(t.Context(), "", list)
		must.SliceEmpty(t, listing.Finished)
	}
	must.Positive(t, started)
}
