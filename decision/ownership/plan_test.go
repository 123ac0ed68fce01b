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

// cluster simulates entries that commit changes of the assignment one at a time.
type cluster struct {
	assignment Assignment
	live       []Session
	expired    []Session
	joined     int
	now        time.Time
}

func newCluster(n int) *cluster {
	c := &cluster{now: time.Unix(1_700_000_000, 0)}
	for range n {
		c.join()
	}
	return c
}

func (c *cluster) join() {
	c.joined++
	name := model.Incarnation(fmt.Sprintf("e%03d", c.joined))
	c.live = append(c.live, Session{Incarnation: name, Version: 1})
}

func (c *cluster) remove(i int) Session {
	removed := c.live[i]
	c.live = slices.Delete(slices.Clone(c.live), i, i+1)
	return removed
}

func (c *cluster) crash(i int) {
	removed := c.remove(i)
	c.expired = append(c.expired, removed)
}

func (c *cluster) alive(entry model.Incarnation) bool { return containsSession(c.live, entry) }

// turn computes the proposal of the entry at index i, checks it and applies it. It
// returns the number of partitions that changed owner.
func (c *cluster) turn(t must.T, i int) int {
	c.now = c.now.Add(time.Second)
	self := c.live[i].Incarnation
	proposal := Plan(c.assignment, c.live, c.expired, self, c.now)
	moved := 0
	for p := range c.assignment.Partitions {
		old, next := c.assignment.Partitions[p], proposal.Next.Partitions[p]
		must.True(t, c.alive(next.Owner), must.Sprintf("partition %d has no live owner", p))
		if old.Owner == next.Owner {
			must.Eq(t, old, next)
			continue
		}
		moved++
		must.Eq(t, old.Epoch+1, next.Epoch)
		must.True(t, old.Owner == self || !c.alive(old.Owner), must.Sprintf("%s transferred a partition of %s", self, old.Owner))
		if old.Owner != "" {
			must.SliceContains(t, next.Former, FormerOwner{Incarnation: old.Owner, EndedUnixMs: c.now.UnixMilli()})
		}
	}
	must.Eq(t, moved > 0, proposal.Changed)
	must.Eq(t, len(c.expired), len(proposal.Fenced))
	c.assignment = proposal.Next
	c.expired = nil
	return moved
}

// settle gives all entries turns until no partition changes owner, and returns the
// number of changes.
func (c *cluster) settle(t must.T) int {
	total := 0
	for range 4 {
		moved := 0
		for i := range c.live {
			moved += c.turn(t, i)
		}
		total += moved
		if moved == 0 {
			return total
		}
	}
	t.Fatalf("partitions still change owner after four turns of each entry")
	return total
}

// checkBalance checks that the entries that are not leaving own all partitions in
// equal shares. If all entries are leaving, it checks all of them.
func (c *cluster) checkBalance(t must.T) {
	staying := slices.DeleteFunc(slices.Clone(c.live), func(s Session) bool { return s.Leaving })
	if len(staying) == 0 {
		staying = c.live
	}
	low, high, total := model.Partitions, 0, 0
	for _, session := range staying {
		owned := len(c.assignment.Owned(session.Incarnation))
		low, high, total = min(low, owned), max(high, owned), total+owned
	}
	must.LessEq(t, 1, high-low)
	must.Eq(t, model.Partitions, total)
}

func TestPlanProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.IntRange(1, 6).Draw(t, "entries"))
		pick := func() int { return rapid.IntRange(0, len(c.live)-1).Draw(t, "entry") }
		t.Repeat(map[string]func(*rapid.T){
			"turn":  func(*rapid.T) { c.turn(t, pick()) },
			"join":  func(*rapid.T) { c.join() },
			"leave": func(*rapid.T) { c.live[pick()].Leaving = true },
			"crash": func(t *rapid.T) {
				if len(c.live) == 1 {
					t.Skip("the last entry stays")
				}
				c.crash(pick())
			},
			"close": func(t *rapid.T) {
				if len(c.live) == 1 {
					t.Skip("the last entry stays")
				}
				c.remove(pick())
			},
		})
		c.settle(t)
		c.checkBalance(t)
	})
}

func TestPlanTransfersFewPartitions(t *testing.T) {
	for n := 1; n <= 8; n++ {
		t.Run(fmt.Sprintf("join to %d", n), func(t *testing.T) {
			c := newCluster(n)
			c.settle(t)
			c.join()
			moved := c.settle(t)
			must.Eq(t, len(c.assignment.Owned(c.live[n].Incarnation)), moved)
		})
		t.Run(fmt.Sprintf("crash of one of %d", n+1), func(t *testing.T) {
			c := newCluster(n + 1)
			c.settle(t)
			owned := len(c.assignment.Owned(c.live[0].Incarnation))
			c.crash(0)
			must.Eq(t, owned, c.settle(t))
			c.checkBalance(t)
		})
	}
}

func TestPlanEdgeCases(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	t.Run("an entry that is not live proposes nothing", func(t *testing.T) {
		proposal := Plan(Assignment{}, []Session{{Incarnation: "a"}}, []Session{{Incarnation: "b"}}, "c", now)
		must.False(t, proposal.Changed)
		must.SliceEmpty(t, proposal.Fenced)
	})
	t.Run("all entries leaving: each keeps its partitions", func(t *testing.T) {
		c := newCluster(2)
		c.settle(t)
		c.live[0].Leaving, c.live[1].Leaving = true, true
		must.Eq(t, 0, c.settle(t))
	})
	t.Run("the larger share stays with its owner", func(t *testing.T) {
		c := newCluster(3)
		for p := range c.assignment.Partitions {
			c.assignment.Partitions[p].Owner = c.live[2-p%3].Incarnation
		}
		must.Eq(t, 0, c.settle(t))
	})
	t.Run("owners without a session row are listed", func(t *testing.T) {
		c := newCluster(2)
		c.settle(t)
		removed := c.remove(0)
		proposal := Plan(c.assignment, c.live, nil, c.live[0].Incarnation, now)
		must.Eq(t, []model.Incarnation{removed.Incarnation}, proposal.OwnersWithoutSession)
	})
	t.Run("former owners are removed after FormerOwnerRetention", func(t *testing.T) {
		partition := Partition{Owner: "a"}
		partition = partition.transferTo("b", now)
		partition = partition.transferTo("c", now.Add(FormerOwnerRetention))
		must.Len(t, 2, partition.Former)
		partition = partition.transferTo("d", now.Add(FormerOwnerRetention+time.Millisecond))
		must.Eq(t, []FormerOwner{
			{Incarnation: "b", EndedUnixMs: now.Add(FormerOwnerRetention).UnixMilli()},
			{Incarnation: "c", EndedUnixMs: now.Add(FormerOwnerRetention + time.Millisecond).UnixMilli()},
		}, partition.Former)
	})
}
