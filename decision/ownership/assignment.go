package ownership

import (
	"slices"
	"time"

	"github.com/figring/figring/model"
)

// FormerOwnerRetention is how long a former owner is remembered: the retention of keys,
// the skew that a key's creation time may have, and as much again for the
// difference between two entries' wall clocks.
const FormerOwnerRetention = model.Retention + 2*model.KeySkew

// FormerOwner is an entry that owned a partition before.
type FormerOwner struct {
	Incarnation model.Incarnation `json:"incarnation"`
	// EndedUnixMs is the time at which its ownership ended.
	EndedUnixMs int64 `json:"endedUnixMs"`
}

// Partition is the ownership of one partition.
type Partition struct {
	// Owner is empty while nobody has owned the partition.
	Owner model.Incarnation `json:"owner"`
	// Epoch grows with each change of owner.
	Epoch int64 `json:"epoch"`
	// Former lists the entries whose claims a new owner must load.
	Former []FormerOwner `json:"former,omitempty"`
}

// Assignment says who owns each partition. It is one row of the table, so
// that every change is one transaction and the whole moves as one version.
type Assignment struct {
	Partitions [model.Partitions]Partition `json:"parts"`
}

// Owned returns the partitions of the entry in ascending order.
func (a *Assignment) Owned(by model.Incarnation) []int {
	var owned []int
	for p := range a.Partitions {
		if a.Partitions[p].Owner == by {
			owned = append(owned, p)
		}
	}
	return owned
}

// FormerOwners returns the entries, without repetition, whose claims the owner
// of the given partitions must know.
func (a *Assignment) FormerOwners(partitions []int) []model.Incarnation {
	var owners []model.Incarnation
	for _, p := range partitions {
		for _, former := range a.Partitions[p].Former {
			if !slices.Contains(owners, former.Incarnation) {
				owners = append(owners, former.Incarnation)
			}
		}
	}
	slices.Sort(owners)
	return owners
}

// give returns the part after a change of owner at now.
func (p Partition) give(to model.Incarnation, now time.Time) Partition {
	next := Partition{Owner: to, Epoch: p.Epoch + 1}
	oldest := now.Add(-FormerOwnerRetention).UnixMilli()
	for _, former := range p.Former {
		if former.Incarnation != p.Owner && former.EndedUnixMs >= oldest {
			next.Former = append(next.Former, former)
		}
	}
	if p.Owner != "" {
		ended := FormerOwner{Incarnation: p.Owner, EndedUnixMs: now.UnixMilli()}
		next.Former = append(next.Former, ended)
	}
	return next
}
