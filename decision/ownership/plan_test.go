package ownership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/figring/figring/model"
)

// group is a model of entries that take turns.
type group struct {
	assignment Assignment
	live       []Session
	expired    []Session
	joined     int
	now        time.Time
}

func newGroupOf(n int) *group {
	g := &group{now: time.Unix(1_700_000_000, 0)}
	for range n {
		g.join()
	}
	return g
}

func (g *group) join() {
	g.joined++
	name := model.Incarnation(fmt.Sprintf("e%03d", g.joined))
	g.live = append(g.live, Session{Incarnation: name, Version: 1})
}

func (g *group) remove(i int) Session {
	gone := g.live[i]
	g.live = slices.Delete(slices.Clone(g.live), i, i+1)
	return gone
}

func (g *group) crash(i int) {
	gone := g.remove(i)
	g.expired = append(g.expired, gone)
}

func (g *group) alive(entry model.Incarnation) bool { return holds(g.live, entry) }

// turn lets the entry act, checks what it proposes and applies it. It returns
// the number of partitions that moved.
func (g *group) turn(t must.T, i int) int {
	g.now = g.now.Add(time.Second)
	self := g.live[i].Incarnation
	proposal := Plan(g.assignment, g.live, g.expired, self, g.now)
	moved := 0
	for p := range g.assignment.Partitions {
		old, next := g.assignment.Partitions[p], proposal.Next.Partitions[p]
		must.True(t, g.alive(next.Owner), must.Sprintf("partition %d has no living owner", p))
		if old.Owner == next.Owner {
			must.Eq(t, old, next)
			continue
		}
		moved++
		must.Eq(t, old.Epoch+1, next.Epoch)
		must.True(t, old.Owner == self || !g.alive(old.Owner), must.Sprintf("%s moved a partition of %s", self, old.Owner))
		if old.Owner != "" {
			must.SliceContains(t, next.Former, FormerOwner{Incarnation: old.Owner, EndedUnixMs: g.now.UnixMilli()})
		}
	}
	must.Eq(t, moved > 0, proposal.Changed)
	must.Eq(t, len(g.expired), len(proposal.Fenced))
	g.assignment = proposal.Next
	g.expired = nil
	return moved
}

// settle lets all entries take turns until nothing moves.
func (g *group) settle(t must.T) int {
	total := 0
	for range 4 {
		moved := 0
		for i := range g.live {
			moved += g.turn(t, i)
		}
		total += moved
		if moved == 0 {
			return total
		}
	}
	t.Fatalf("still moving after four turns of each entry")
	return total
}

// checkBalance counts the shares of the entries that stay, or of all of them
// when none does.
func (g *group) checkBalance(t must.T) {
	staying := slices.DeleteFunc(slices.Clone(g.live), func(s Session) bool { return s.Leaving })
	if len(staying) == 0 {
		staying = g.live
	}
	low, high, total := model.Partitions, 0, 0
	for _, session := range staying {
		owned := len(g.assignment.Owned(session.Incarnation))
		low, high, total = min(low, owned), max(high, owned), total+owned
	}
	must.LessEq(t, 1, high-low)
	must.Eq(t, model.Partitions, total)
}

func TestPlanProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroupOf(rapid.IntRange(1, 6).Draw(t, "entries"))
		pick := func() int { return rapid.IntRange(0, len(g.live)-1).Draw(t, "entry") }
		t.Repeat(map[string]func(*rapid.T){
			"turn":  func(*rapid.T) { g.turn(t, pick()) },
			"join":  func(*rapid.T) { g.join() },
			"leave": func(*rapid.T) { g.live[pick()].Leaving = true },
			"crash": func(t *rapid.T) {
				if len(g.live) == 1 {
					t.Skip("the last one stays")
				}
				g.crash(pick())
			},
			"close": func(t *rapid.T) {
				if len(g.live) == 1 {
					t.Skip("the last one stays")
				}
				g.remove(pick())
			},
		})
		g.settle(t)
		g.checkBalance(t)
	})
}

func TestPlanMovesLittle(t *testing.T) {
	for n := 1; n <= 8; n++ {
		t.Run(fmt.Sprintf("join to %d", n), func(t *testing.T) {
			g := newGroupOf(n)
			g.settle(t)
			g.join()
			moved := g.settle(t)
			must.Eq(t, len(g.assignment.Owned(g.live[n].Incarnation)), moved)
		})
		t.Run(fmt.Sprintf("crash of one of %d", n+1), func(t *testing.T) {
			g := newGroupOf(n + 1)
			g.settle(t)
			owned := len(g.assignment.Owned(g.live[0].Incarnation))
			g.crash(0)
			must.Eq(t, owned, g.settle(t))
			g.checkBalance(t)
		})
	}
}

func TestPlanEdges(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	t.Run("an entry that is not live proposes nothing", func(t *testing.T) {
		proposal := Plan(Assignment{}, []Session{{Incarnation: "a"}}, []Session{{Incarnation: "b"}}, "c", now)
		must.False(t, proposal.Changed)
		must.SliceEmpty(t, proposal.Fenced)
	})
	t.Run("all leave: they keep what they have", func(t *testing.T) {
		g := newGroupOf(2)
		g.settle(t)
		g.live[0].Leaving, g.live[1].Leaving = true, true
		must.Eq(t, 0, g.settle(t))
	})
	t.Run("the larger share stays where it is", func(t *testing.T) {
		g := newGroupOf(3)
		for p := range g.assignment.Partitions {
			g.assignment.Partitions[p].Owner = g.live[2-p%3].Incarnation
		}
		must.Eq(t, 0, g.settle(t))
	})
	t.Run("owners without a row are named", func(t *testing.T) {
		g := newGroupOf(2)
		g.settle(t)
		gone := g.remove(0)
		proposal := Plan(g.assignment, g.live, nil, g.live[0].Incarnation, now)
		must.Eq(t, []model.Incarnation{gone.Incarnation}, proposal.OwnersWithoutSession)
	})
	t.Run("former owners are forgotten after their time", func(t *testing.T) {
		part := Partition{Owner: "a"}
		part = part.give("b", now)
		part = part.give("c", now.Add(FormerOwnerRetention))
		must.Len(t, 2, part.Former)
		part = part.give("d", now.Add(FormerOwnerRetention+time.Millisecond))
		must.Eq(t, []FormerOwner{
			{Incarnation: "b", EndedUnixMs: now.Add(FormerOwnerRetention).UnixMilli()},
			{Incarnation: "c", EndedUnixMs: now.Add(FormerOwnerRetention + time.Millisecond).UnixMilli()},
		}, part.Former)
	})
}
