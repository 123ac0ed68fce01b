package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

func candidate(name string, free int64, change func(*session.State)) *Candidate {
	made := &Candidate{Name: name, Zone: "a"}
	state := session.State{
		Minion:    session.Minion{Service: "desk", Capacity: work.Room{MilliCPU: 64000, MemMB: 1000}},
		Accepting: true,
		Free:      work.Room{MilliCPU: free, MemMB: 1000},
		Turnover:  200 * time.Millisecond,
		Pace:      1,
	}
	if change != nil {
		change(&state)
	}
	made.Update(state, time.Time{})
	return made
}

func chooser() *Chooser {
	return &Chooser{Zone: "a", Evacuated: func(string) bool { return false }, Random: rand.New(rand.NewPCG(1, 2))}
}

func task(maxWait time.Duration) Task {
	return Task{Service: "desk", Need: work.Room{MilliCPU: 6000, MemMB: 10}, Estimate: 900 * time.Millisecond, MaxWait: maxWait}
}

// TestFreeMinionBeatsAFasterOneThatIsLate covers a load on which a minion that
// was slow stands idle while the others are full: its room is in time.
func TestFreeMinionBeatsAFasterOneThatIsLate(t *testing.T) {
	slow := candidate("slow", 64000, func(s *session.State) { s.Pace = 3 })
	full := candidate("full", 0, func(s *session.State) { s.Queued.Add(0, 60000) })
	choice, ok := chooser().Choose([]*Candidate{full, slow}, task(50*time.Millisecond), nil)
	must.True(t, ok)
	must.EqOp(t, "slow", choice.Candidate.Name)
	must.EqOp(t, 0, choice.Wait)
}

// TestOrdersUnderWayCount covers tasks of one job: each choice sees the ones
// before, though the state does not show them yet.
func TestOrdersUnderWayCount(t *testing.T) {
	one, other := candidate("one", 7000, nil), candidate("other", 6500, nil)
	candidates := []*Candidate{one, other}
	first, ok := chooser().Choose(candidates, task(0), nil)
	must.True(t, ok)
	first.Candidate.Sent(1, task(0).Need, 0)
	second, ok := chooser().Choose(candidates, task(0), nil)
	must.True(t, ok)
	must.NotEqOp(t, first.Candidate.Name, second.Candidate.Name)
	must.EqOp(t, 0, second.Wait)
}

// TestWhatMayNotBeUsed covers candidates that get no task at all.
func TestWhatMayNotBeUsed(t *testing.T) {
	cases := []struct {
		name   string
		change func(*session.State)
	}{
		{"refuses", func(s *session.State) { s.Accepting = false }},
		{"other service", func(s *session.State) { s.Minion.Service = "other" }},
		{"too small", func(s *session.State) { s.Minion.Capacity.MilliCPU = 5000 }},
		{"on trial", func(s *session.State) { s.Suspect = true }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, ok := chooser().Choose([]*Candidate{candidate("x", 64000, tc.change)}, task(time.Second), nil)
			must.False(t, ok)
		})
	}
	out := chooser()
	out.Evacuated = func(zone string) bool { return zone == "a" }
	_, ok := out.Choose([]*Candidate{candidate("x", 64000, nil)}, task(time.Second), nil)
	must.False(t, ok)
}

// TestUrgentTaskPassesTheQueue covers a full minion with a long queue of tasks
// that have time: a task that has none waits for the next end alone.
func TestUrgentTaskPassesTheQueue(t *testing.T) {
	full := candidate("full", 0, func(s *session.State) { s.Queued.Add(time.Second, 64000) })
	urgent := Task{Service: "desk", Need: work.Room{MilliCPU: 6000}, Slack: 50 * time.Millisecond}
	choice, ok := chooser().Choose([]*Candidate{full}, urgent, nil)
	must.True(t, ok)
	must.Less(t, 30*time.Millisecond, choice.Wait)
	patient := urgent
	patient.Slack = time.Second
	choice, ok = chooser().Choose([]*Candidate{full}, patient, nil)
	must.True(t, ok)
	must.Greater(t, 200*time.Millisecond, choice.Wait)
}

// TestLabelIsRequired covers a task that only some minions may run.
func TestLabelIsRequired(t *testing.T) {
	plain := candidate("plain", 64000, nil)
	labelled := candidate("labelled", 6000, func(s *session.State) { s.Minion.Labels = []string{"b", "r1"} })
	wanted := task(time.Second)
	wanted.Label = "b"
	choice, ok := chooser().Choose([]*Candidate{plain, labelled}, wanted, nil)
	must.True(t, ok)
	must.EqOp(t, "labelled", choice.Candidate.Name)
	_, ok = chooser().Choose([]*Candidate{plain}, wanted, nil)
	must.False(t, ok)
}

// TestRackIsPreferred covers a task whose data is on one rack: it runs there
// while there is room in time, else elsewhere.
func TestRackIsPreferred(t *testing.T) {
	far := candidate("far", 64000, nil)
	near := candidate("near", 10000, func(s *session.State) { s.Minion.Labels = []string{"r1"} })
	wanted := task(50 * time.Millisecond)
	wanted.Rack = "r1"
	choice, _ := chooser().Choose([]*Candidate{far, near}, wanted, nil)
	must.EqOp(t, "near", choice.Candidate.Name)
	near.State.Free = work.Room{}
	near.State.Turnover = time.Minute
	choice, _ = chooser().Choose([]*Candidate{far, near}, wanted, nil)
	must.EqOp(t, "far", choice.Candidate.Name)
}

// TestFullMinionIsLeft covers a step with a bound for each minion.
func TestFullMinionIsLeft(t *testing.T) {
	one, other := candidate("one", 64000, nil), candidate("other", 7000, nil)
	wanted := task(time.Second)
	wanted.Full = func(name string) bool { return name == "one" }
	choice, ok := chooser().Choose([]*Candidate{one, other}, wanted, nil)
	must.True(t, ok)
	must.EqOp(t, "other", choice.Candidate.Name)
}
