package dedup

import (
	"time"

	"github.com/figring/figring/model"
)

// bucketWidth is the span of creation times that one bucket holds. Keys are
// forgotten by whole buckets, so that nothing is stored per key for it.
const bucketWidth = 10 * time.Second

type partitionState uint8

const (
	partitionAbsent partitionState = iota
	partitionLoading
	partitionServed
)

type bucket map[model.JobKey]entry

// partition holds the keys of one partition by creation time.
type partition struct {
	state   partitionState
	buckets map[int64]bucket
	// late holds jobs that were in progress when their bucket was forgotten.
	late bucket
}

func bucketOf(created time.Time) int64 {
	return created.UnixMilli() / bucketWidth.Milliseconds()
}

func bucketEnd(number int64) time.Time {
	return time.UnixMilli((number + 1) * bucketWidth.Milliseconds())
}

func (p *partition) find(key model.JobKey) (entry, bool) {
	if found, ok := p.buckets[bucketOf(key.Created())][key]; ok {
		return found, true
	}
	found, ok := p.late[key]
	return found, ok
}

func (p *partition) put(key model.JobKey, value entry) {
	if _, ok := p.late[key]; ok {
		p.late[key] = value
		return
	}
	number := bucketOf(key.Created())
	if p.buckets == nil {
		p.buckets = make(map[int64]bucket)
	}
	if p.buckets[number] == nil {
		p.buckets[number] = make(bucket)
	}
	p.buckets[number][key] = value
}

func (p *partition) remove(key model.JobKey) {
	delete(p.late, key)
	delete(p.buckets[bucketOf(key.Created())], key)
}

// expire forgets buckets that ended before cutoff and returns the number of
// keys forgotten and their answers' bytes. Jobs in progress are kept.
func (p *partition) expire(cutoff time.Time, forget func(entry)) int {
	forgotten := p.expireLate(forget)
	for number, keys := range p.buckets {
		if !bucketEnd(number).Before(cutoff) {
			continue
		}
		forgotten += p.expireBucket(keys, forget)
		delete(p.buckets, number)
	}
	return forgotten
}

func (p *partition) expireBucket(keys bucket, forget func(entry)) int {
	forgotten := 0
	for key, value := range keys {
		if value.state.InProgress() {
			p.keepLate(key, value)
			continue
		}
		forget(value)
		forgotten++
	}
	return forgotten
}

func (p *partition) keepLate(key model.JobKey, value entry) {
	if p.late == nil {
		p.late = make(bucket)
	}
	p.late[key] = value
}

func (p *partition) expireLate(forget func(entry)) int {
	forgotten := 0
	for key, value := range p.late {
		if value.state.InProgress() {
			continue
		}
		forget(value)
		delete(p.late, key)
		forgotten++
	}
	return forgotten
}

// dropLoaded removes the claims that were loaded from the table.
func (p *partition) dropLoaded() {
	for _, keys := range p.buckets {
		for key, value := range keys {
			if value.state == ClaimedElsewhere {
				delete(keys, key)
			}
		}
	}
}
