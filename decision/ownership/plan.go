package ownership

import (
	"cmp"
	"slices"
	"time"

	"github.com/figring/figring/model"
)

// Proposal is a change that one entry may commit.
type Proposal struct {
	Next Assignment
	// Changed says that Next differs from the current assignment.
	Changed bool
	// Fenced lists the expired sessions whose rows the commit must delete,
	// under the condition that each still has the version given here.
	Fenced []Session
	// OwnersWithoutSession lists owners without a session row. The commit must require that
	// their rows are still absent.
	OwnersWithoutSession []model.Incarnation
}

// Plan proposes what self should commit. It moves only partitions that self
// owns and partitions of expired or absent owners: a living entry's partitions
// are given away by itself alone, because only it can stop claiming first.
// Entries that leave get nothing, unless all do. Each living entry computes
// the same targets from the same rows, so that turns of all of them converge.
func Plan(current Assignment, live, expired []Session, self model.Incarnation, now time.Time) Proposal {
	proposal := Proposal{Next: current}
	if !holds(live, self) {
		return proposal
	}
	proposal.Fenced = slices.Clone(expired)
	plan := newPlanner(&proposal.Next, live, now)
	proposal.OwnersWithoutSession = plan.absent(expired)
	plan.placeOrphans()
	plan.giveExcess(self)
	proposal.Changed = plan.changed
	return proposal
}

type planner struct {
	next *Assignment
	// takers are the entries that may get partitions, in order of name.
	takers  []model.Incarnation
	alive   map[model.Incarnation]bool
	count   map[model.Incarnation]int
	now     time.Time
	changed bool
}

func newPlanner(next *Assignment, live []Session, now time.Time) *planner {
	p := &planner{
		next:   next,
		takers: takers(live),
		alive:  make(map[model.Incarnation]bool, len(live)),
		count:  make(map[model.Incarnation]int, len(live)),
		now:    now,
	}
	for _, session := range live {
		p.alive[session.Incarnation] = true
	}
	for i := range next.Partitions {
		p.count[next.Partitions[i].Owner]++
	}
	return p
}

// takers returns the entries that stay, or all of them when all leave.
func takers(live []Session) []model.Incarnation {
	var staying, all []model.Incarnation
	for _, session := range live {
		all = append(all, session.Incarnation)
		if !session.Leaving {
			staying = append(staying, session.Incarnation)
		}
	}
	if len(staying) == 0 {
		staying = all
	}
	slices.Sort(staying)
	return staying
}

// absent returns the owners that have no session row at all.
func (p *planner) absent(expired []Session) []model.Incarnation {
	var gone []model.Incarnation
	for i := range p.next.Partitions {
		owner := p.next.Partitions[i].Owner
		if owner == "" || p.alive[owner] || holds(expired, owner) || slices.Contains(gone, owner) {
			continue
		}
		gone = append(gone, owner)
	}
	return gone
}

// placeOrphans gives partitions without a living owner to the least loaded.
func (p *planner) placeOrphans() {
	for i := range p.next.Partitions {
		if !p.alive[p.next.Partitions[i].Owner] {
			p.move(i, p.leastLoaded())
		}
	}
}

func (p *planner) leastLoaded() model.Incarnation {
	return slices.MinFunc(p.takers, func(a, b model.Incarnation) int {
		return cmp.Or(cmp.Compare(p.count[a], p.count[b]), cmp.Compare(a, b))
	})
}

// giveExcess moves what self owns above its target to entries below theirs.
func (p *planner) giveExcess(self model.Incarnation) {
	targets := p.targets()
	for _, i := range p.next.Owned(self) {
		if p.count[self] <= targets[self] {
			return
		}
		if to, ok := p.neediest(targets); ok {
			p.move(i, to)
		}
	}
}

// targets returns the fair share of each taker. The larger shares go to those
// that own most now, so that as little as possible moves. An entry that leaves
// has none.
func (p *planner) targets() map[model.Incarnation]int {
	ranked := slices.Clone(p.takers)
	slices.SortFunc(ranked, func(a, b model.Incarnation) int {
		return cmp.Or(cmp.Compare(p.count[b], p.count[a]), cmp.Compare(a, b))
	})
	targets := make(map[model.Incarnation]int, len(ranked))
	for rank, taker := range ranked {
		targets[taker] = model.Partitions / len(ranked)
		if rank < model.Partitions%len(ranked) {
			targets[taker]++
		}
	}
	return targets
}

func (p *planner) neediest(targets map[model.Incarnation]int) (model.Incarnation, bool) {
	lack := func(taker model.Incarnation) int { return targets[taker] - p.count[taker] }
	best := slices.MaxFunc(p.takers, func(a, b model.Incarnation) int {
		return cmp.Or(cmp.Compare(lack(a), lack(b)), cmp.Compare(b, a))
	})
	return best, lack(best) > 0
}

func (p *planner) move(partition int, to model.Incarnation) {
	part := p.next.Partitions[partition]
	p.count[part.Owner]--
	p.count[to]++
	p.next.Partitions[partition] = part.give(to, p.now)
	p.changed = true
}

func holds(sessions []Session, incarnation model.Incarnation) bool {
	return slices.ContainsFunc(sessions, func(session Session) bool {
		return session.Incarnation == incarnation
	})
}
