package ownership

import (
	"slices"
	"time"

	"github.com/figring/figring/model"
)

// FormerOwnerRetention is how long a former owner is kept in the assignment. It is
// the retention of keys, plus the skew that a key's creation time may have, plus the
// same amount for the difference between the wall clocks of two entries.
const FormerOwnerRetention = model.Retention + 2*model.KeySkew

// FormerOwner is an entry that owned a partition earlier.
type FormerOwner struct {
	Incarnation model.Incarnation `json:"incarnation"`
	// EndedUnixMs is when its ownership ended, in milliseconds since the Unix epoch.
	EndedUnixMs int64 `json:"endedUnixMs"`
}

// Partition is the ownership of one partition.
type Partition struct {
	// Owner is empty until the partition gets its first owner.
	Owner model.Incarnation `json:"owner"`
	// Epoch is incremented with each change of owner.
	Epoch int64 `json:"epoch"`
	// Former lists the former owners whose claims a new owner must load.
	Former []FormerOwner `json:"former,omitempty"`
}

// Assignment is the ownership of all partitions. It is stored as one row of the
// table, so that every change is one transaction and all partitions share one
// version.
type Assignment struct {
	Partitions [model.Partitions]Partition `json:"parts"`
}

// Owned returns the partitions that the entry owns, in ascending order.
func (a *Assignment) Owned(by model.Incarnation) []int {
	var owned []int
	for p := range a.Partitions {
		if a.Partitions[p].Owner == by {
			owned = append(owned, p)
		}
	}
	return owned
}

// FormerOwners returns the former owners of the given partitions, sorted and without
// duplicates. The current owner must load their claims.
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

// transferTo returns the partition after a change of owner at now.
func (p Partition) transferTo(to model.Incarnation, now time.Time) Partition {
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
