package classload

import (
	"time"

	"github.com/figring/figring/session"
)

// Sum is the state of a sidecar: the rates of work that its entries have told it. It is
// not safe for concurrent use.
type Sum struct {
	startedAt time.Time
	reports   map[string]report
}

type report struct {
	load session.ClassLoad
	at   time.Time
}

// NewSum returns a sum without reports.
func NewSum() *Sum { return &Sum{reports: make(map[string]report)} }

// Record records the load that an entry has told.
func (s *Sum) Record(now time.Time, entry string, load session.ClassLoad) {
	if s.startedAt.IsZero() {
		s.startedAt = now
	}
	s.reports[entry] = report{load, now}
}

// Total returns the sum over the entries that were heard within maxReportAge. It returns
// nil while entries may be missing because the sidecar has just started.
func (s *Sum) Total(now time.Time) session.ClassLoad {
	if s.startedAt.IsZero() || now.Sub(s.startedAt) < sumWarmup {
		return nil
	}
	total := make(session.ClassLoad)
	for entry, told := range s.reports {
		if now.Sub(told.at) > maxReportAge {
			delete(s.reports, entry)
			continue
		}
		for priority, milliCPU := range told.load {
			total[priority] += milliCPU
		}
	}
	return total
}
