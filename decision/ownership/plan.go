package ownership

import (
	"cmp"
	"slices"
	"time"

	"github.com/figring/figring/model"
)

// Proposal is a change of the assignment that one entry may commit.
type Proposal struct {
	Next Assignment
	// Changed is set if Next differs from the current assignment.
	Changed bool
	// Fenced lists the expired sessions whose rows the commit must delete, on the
	// condition that each still has the version given here.
	Fenced []Session
	// OwnersWithoutSession lists the owners that have no session row. The commit must
	// be conditional on their rows still being absent.
	OwnersWithoutSession []model.Incarnation
}

// Plan returns the change that self should commit. It transfers only partitions of
// self and partitions whose owner's session is expired or absent. Partitions of another
// live entry are left to that entry, because only the owner can stop claiming jobs in
// them before the transfer. Leaving entries get no partitions unless all entries are
// leaving. All live entries compute the same fair shares from the same rows, so that
// their commits converge.
func Plan(current Assignment, live, expired []Session, self model.Incarnation, now time.Time) Proposal {
	proposal := Proposal{Next: current}
	if !containsSession(live, self) {
		return proposal
	}
	proposal.Fenced = slices.Clone(expired)
	plan := newPlanner(&proposal.Next, live, now)
	proposal.OwnersWithoutSession = plan.ownersWithoutSession(expired)
	plan.assignUnowned()
	plan.transferExcess(self)
	proposal.Changed = plan.changed
	return proposal
}

// planner is the state of one call of Plan.
type planner struct {
	next *Assignment
	// candidates are the entries that may get partitions, sorted by name.
	candidates []model.Incarnation
	alive      map[model.Incarnation]bool
	ownedCount map[model.Incarnation]int
	now        time.Time
	changed    bool
}

func newPlanner(next *Assignment, live []Session, now time.Time) *planner {
	p := &planner{
		next:       next,
		candidates: listCandidates(live),
		alive:      make(map[model.Incarnation]bool, len(live)),
		ownedCount: make(map[model.Incarnation]int, len(live)),
		now:        now,
	}
	for _, session := range live {
		p.alive[session.Incarnation] = true
	}
	for i := range next.Partitions {
		p.ownedCount[next.Partitions[i].Owner]++
	}
	return p
}

// listCandidates returns the entries that are not leaving, or all entries if all of
// them are leaving.
func listCandidates(live []Session) []model.Incarnation {
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

// ownersWithoutSession returns the owners with neither a live nor an expired session.
func (p *planner) ownersWithoutSession(expired []Session) []model.Incarnation {
	var owners []model.Incarnation
	for i := range p.next.Partitions {
		owner := p.next.Partitions[i].Owner
		if owner == "" || p.alive[owner] || containsSession(expired, owner) || slices.Contains(owners, owner) {
			continue
		}
		owners = append(owners, owner)
	}
	return owners
}

// assignUnowned assigns each partition without a live owner to the candidate that
// owns the fewest partitions.
func (p *planner) assignUnowned() {
	for i := range p.next.Partitions {
		if !p.alive[p.next.Partitions[i].Owner] {
			p.transfer(i, p.leastLoaded())
		}
	}
}

// leastLoaded returns the candidate that owns the fewest partitions.
func (p *planner) leastLoaded() model.Incarnation {
	return slices.MinFunc(p.candidates, func(a, b model.Incarnation) int {
		return cmp.Or(cmp.Compare(p.ownedCount[a], p.ownedCount[b]), cmp.Compare(a, b))
	})
}

// transferExcess transfers the partitions that self owns above its fair share to
// candidates below theirs.
func (p *planner) transferExcess(self model.Incarnation) {
	shares := p.fairShares()
	for _, i := range p.next.Owned(self) {
		if p.ownedCount[self] <= shares[self] {
			return
		}
		if to, ok := p.furthestBelowShare(shares); ok {
			p.transfer(i, to)
		}
	}
}

// fairShares returns the number of partitions that each candidate should own. When
// the partitions don't divide evenly, the larger shares go to the candidates that own
// the most, to transfer as few partitions as possible. Leaving entries have no share.
func (p *planner) fairShares() map[model.Incarnation]int {
	ranked := slices.Clone(p.candidates)
	slices.SortFunc(ranked, func(a, b model.Incarnation) int {
		return cmp.Or(cmp.Compare(p.ownedCount[b], p.ownedCount[a]), cmp.Compare(a, b))
	})
	shares := make(map[model.Incarnation]int, len(ranked))
	for rank, candidate := range ranked {
		shares[candidate] = model.Partitions / len(ranked)
		if rank < model.Partitions%len(ranked) {
			shares[candidate]++
		}
	}
	return shares
}

// furthestBelowShare returns the candidate with the largest shortfall, or false if no
// candidate is below its fair share.
func (p *planner) furthestBelowShare(shares map[model.Incarnation]int) (model.Incarnation, bool) {
	shortfall := func(candidate model.Incarnation) int { return shares[candidate] - p.ownedCount[candidate] }
	best := slices.MaxFunc(p.candidates, func(a, b model.Incarnation) int {
		return cmp.Or(cmp.Compare(shortfall(a), shortfall(b)), cmp.Compare(b, a))
	})
	return best, shortfall(best) > 0
}

func (p *planner) transfer(partition int, to model.Incarnation) {
	previous := p.next.Partitions[partition]
	p.ownedCount[previous.Owner]--
	p.ownedCount[to]++
	p.next.Partitions[partition] = previous.transferTo(to, p.now)
	p.changed = true
}

func containsSession(sessions []Session, incarnation model.Incarnation) bool {
	return slices.ContainsFunc(sessions, func(session Session) bool {
		return session.Incarnation == incarnation
	})
}
