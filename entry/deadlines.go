package entry

import (
	"container/heap"
	"time"

	"github.com/figring/figring/model"
)

// deadline is a time at which the owner must act on a job: the job's timeout or
// the time of a hedge.
type deadline struct {
	at  time.Time
	key model.JobKey
}

// deadlines is a heap of deadlines with the earliest at the root.
type deadlines []deadline

// Len implements sort.Interface.
func (d deadlines) Len() int { return len(d) }

// Less implements sort.Interface.
func (d deadlines) Less(i, j int) bool { return d[i].at.Before(d[j].at) }

// Swap implements sort.Interface.
func (d deadlines) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *deadlines) Push(x any) { *d = append(*d, x.(deadline)) }

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	last := len(*d) - 1
	item := (*d)[last]
	*d = (*d)[:last]
	return item
}

func (d *deadlines) add(at time.Time, key model.JobKey) {
	heap.Push(d, deadline{at: at, key: key})
}

// due removes the deadlines up to now and returns their keys.
func (d *deadlines) due(now time.Time) []model.JobKey {
	var keys []model.JobKey
	for len(*d) > 0 && !(*d)[0].at.After(now) {
		keys = append(keys, heap.Pop(d).(deadline).key)
	}
	return keys
}
