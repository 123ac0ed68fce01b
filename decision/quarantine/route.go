package quarantine

import (
	"time"

	"github.com/figring/figring/work"
)

// routeRecord is what is known of a route: its use, and the evidence against it.
type routeRecord struct {
	service string
	// blamed are the jobs of the route that were blamed for a crash, and when.
	blamed map[work.JobID]time.Time
	// suspectedAt is the time of the last crash with a young run of the route, or by which
	// a task of it was proved to be poison.
	suspectedAt time.Time
	confined    bool
	// submittedAt is when a job of the route was last submitted.
	submittedAt time.Time
	// refusedAt is when a job of the route was last refused for want of room.
	refusedAt time.Time
}

// blamedLately returns the number of jobs that were blamed within evidenceTime.
func (r *routeRecord) blamedLately(now time.Time) int {
	count := 0
	for _, at := range r.blamed {
		if now.Sub(at) <= evidenceTime {
			count++
		}
	}
	return count
}

func (r *routeRecord) dropOldEvidence(now time.Time) {
	for job, at := range r.blamed {
		if now.Sub(at) > evidenceTime {
			delete(r.blamed, job)
		}
	}
}
