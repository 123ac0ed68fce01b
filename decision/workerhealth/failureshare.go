package workerhealth

import (
	"math"
	"time"
)

const (
	// shareDecayTime is the time in which the ends behind the failure share lose two
	// thirds of their weight.
	shareDecayTime = 2 * time.Second
	// sharePriorDone is the number of successes that are assumed in addition to the
	// recorded ends, so that a single failure weighs little. They don't decay, so that
	// the share of a minion that gets no tasks returns to 0.
	sharePriorDone = 3
	// maxRecentJobs bounds the jobs whose ends are recognized as repeated.
	maxRecentJobs = 64
)

// failureShare is the decaying share of ends that are failures. Each job counts with at
// most one failure and one success within shareDecayTime.
type failureShare struct {
	// done and failed are the weights of the ends at updatedAt.
	done, failed float64
	updatedAt    time.Time
	// recent holds the latest jobs, oldest at next once it is full.
	recent []recentJob
	next   int
}

// recentJob is a job with an end on the minion.
type recentJob struct {
	id           string
	firstEndAt   time.Time
	done, failed bool
}

// record counts the end of a run of the job.
func (s *failureShare) record(now time.Time, job string, failed bool) {
	known := s.recentJob(now, job)
	s.decay(now)
	switch {
	case failed && !known.failed:
		known.failed = true
		s.failed++
	case !failed && !known.done:
		known.done = true
		s.done++
	}
}

// recentJob returns the record of the job. It replaces the oldest record if there is none.
func (s *failureShare) recentJob(now time.Time, job string) *recentJob {
	for i := range s.recent {
		known := &s.recent[i]
		if known.id == job && now.Sub(known.firstEndAt) < shareDecayTime {
			return known
		}
	}
	added := recentJob{id: job, firstEndAt: now}
	if len(s.recent) < maxRecentJobs {
		s.recent = append(s.recent, added)
		return &s.recent[len(s.recent)-1]
	}
	replaced := &s.recent[s.next]
	*replaced = added
	s.next = (s.next + 1) % maxRecentJobs
	return replaced
}

func (s *failureShare) decay(now time.Time) {
	kept := s.kept(now)
	s.done *= kept
	s.failed *= kept
	s.updatedAt = now
}

// kept returns the part of the weights that is left.
func (s *failureShare) kept(now time.Time) float64 {
	return math.Exp(-float64(now.Sub(s.updatedAt)) / float64(shareDecayTime))
}

// share returns the share of the ends that are failures.
func (s *failureShare) share(now time.Time) float64 {
	kept := s.kept(now)
	return s.failed * kept / ((s.failed+s.done)*kept + sharePriorDone)
}
