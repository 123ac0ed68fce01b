package dedup

import (
	"time"

	"github.com/figring/figring/model"
)

// bucketWidth is the range of creation times that one bucket covers. Keys
// expire in whole buckets, so that no expiry data is stored per key.
const bucketWidth = 10 * time.Second

type partitionState uint8

const (
	partitionAbsent partitionState = iota
	partitionLoading
	partitionServed
)

type bucket map[model.JobKey]compactRecord

// partition holds the keys of one partition.
type partition struct {
	state partitionState
	// buckets holds the keys by creation time; see bucketNumber.
	buckets map[int64]bucket
	// overdue holds the keys of jobs that were in progress when their bucket
	// expired.
	overdue bucket
}

func bucketNumber(created time.Time) int64 {
	return created.UnixMilli() / bucketWidth.Milliseconds()
}

func bucketEnd(number int64) time.Time {
	return time.UnixMilli((number + 1) * bucketWidth.Milliseconds())
}

func (p *partition) find(key model.JobKey) (compactRecord, bool) {
	if found, ok := p.buckets[bucketNumber(key.Created())][key]; ok {
		return found, true
	}
	found, ok := p.overdue[key]
	return found, ok
}

func (p *partition) put(key model.JobKey, value compactRecord) {
	if _, ok := p.overdue[key]; ok {
		p.overdue[key] = value
		return
	}
	number := bucketNumber(key.Created())
	if p.buckets == nil {
		p.buckets = make(map[int64]bucket)
	}
	if p.buckets[number] == nil {
		p.buckets[number] = make(bucket)
	}
	p.buckets[number][key] = value
}

func (p *partition) remove(key model.JobKey) {
	delete(p.overdue, key)
	delete(p.buckets[bucketNumber(key.Created())], key)
}

// expire removes the buckets that end before cutoff and the overdue keys whose
// jobs have ended. Keys of jobs in progress are kept. It calls onRemove for each
// removed key and returns how many there were.
func (p *partition) expire(cutoff time.Time, onRemove func(compactRecord)) int {
	removed := p.expireOverdue(onRemove)
	for number, keys := range p.buckets {
		if !bucketEnd(number).Before(cutoff) {
			continue
		}
		removed += p.expireBucket(keys, onRemove)
		delete(p.buckets, number)
	}
	return removed
}

func (p *partition) expireBucket(keys bucket, onRemove func(compactRecord)) int {
	removed := 0
	for key, value := range keys {
		if value.state.InProgress() {
			p.keepOverdue(key, value)
			continue
		}
		onRemove(value)
		removed++
	}
	return removed
}

func (p *partition) keepOverdue(key model.JobKey, value compactRecord) {
	if p.overdue == nil {
		p.overdue = make(bucket)
	}
	p.overdue[key] = value
}

func (p *partition) expireOverdue(onRemove func(compactRecord)) int {
	removed := 0
	for key, value := range p.overdue {
		if value.state.InProgress() {
			continue
		}
		onRemove(value)
		delete(p.overdue, key)
		removed++
	}
	return removed
}

// dropLoaded removes the claims that were loaded from the claim store.
func (p *partition) dropLoaded() {
	for _, keys := range p.buckets {
		for key, value := range keys {
			if value.state == ClaimedElsewhere {
				delete(keys, key)
			}
		}
	}
}
