package classload

import (
	"time"

	"github.com/figring/figring/session"
)

// serviceState is what an entry keeps of a service whose routes have different
// priorities.
type serviceState struct {
	name string
	// classes are in the order of their urgency.
	classes []*classState
	// usable is the capacity within reach that is used without long queues.
	usable float64
	// spare is the free capacity that this entry may use for jobs that would be shed.
	spare float64
	// scarce is true while the demand exceeds usable, fallback while no sidecar tells
	// the demand.
	scarce, fallback bool
	// fallbackSince is when fallback became true, and scarceAt when scarce was true
	// last.
	fallbackSince, scarceAt time.Time
	// fallbackReported and scarceReported are the values that were reported last.
	fallbackReported, scarceReported bool
}

// room is the capacity of a service within reach, in thousandths of a core.
type room struct {
	// free is the part that neither running nor queued tasks need. net is free less the
	// queued need for which there is no free capacity.
	capacity, free, net float64
}

func (s *serviceState) roomOf(fleet *Fleet) room {
	var sum room
	for _, sidecar := range fleet.Sidecars {
		if sidecar.Service == s.name {
			sum.capacity += float64(sidecar.Capacity)
			sum.free += float64(max(sidecar.Free, 0))
			sum.net += float64(sidecar.Free)
		}
	}
	return sum
}

// correction returns by how much less than usable is divided, so that a backlog drains
// within about a second. It also makes up for demands that are measured too low.
func (r *room) correction() float64 {
	return min(max(backlogShare*r.capacity-r.net, 0), maxCorrection*r.capacity)
}

// demands returns the demand of each class. The answers of a part of the sidecars stand
// for all. Without any the demand is estimated from this entry's own.
func (s *serviceState) demands(now time.Time, fleet *Fleet, answers map[string]report) []float64 {
	total, covered := make(session.ClassLoad), 0.0
	for _, sidecar := range fleet.Sidecars {
		answer, ok := answers[sidecar.Name]
		if sidecar.Service != s.name || !ok || now.Sub(answer.at) > maxReportAge {
			continue
		}
		covered += float64(sidecar.Capacity)
		for priority, milliCPU := range answer.load {
			total[priority] += milliCPU
		}
	}
	capacity := s.roomOf(fleet).capacity
	s.setFallback(now, covered <= 0)
	demands := make([]float64, len(s.classes))
	for i, class := range s.classes {
		own := class.ownRate(now)
		if s.fallback {
			demands[i] = own * max(float64(fleet.Entries)*fleet.reach(), 1)
			continue
		}
		demands[i] = max(own, float64(total[class.class.Priority])*capacity/covered)
	}
	return demands
}

// refresh divides the capacity among the classes.
func (s *serviceState) refresh(now time.Time, fleet *Fleet, answers map[string]report) {
	demands := s.demands(now, fleet, answers)
	room := s.roomOf(fleet)
	s.usable = usableShare * room.capacity
	divided := s.usable - room.correction()
	constant := usualTime
	if s.scarce {
		constant = scarceUsualTime
	}
	claims := make([]claim, len(s.classes))
	for i, class := range s.classes {
		claims[i] = class.claim(now, demands[i], constant)
	}
	given := divide(divided, claims)
	demand, own, urgent := 0.0, 0.0, 0.0
	for i, class := range s.classes {
		class.share(now, demands[i], given[i], urgent)
		demand += demands[i]
		own += class.ownRate(now)
		if s.usable > 0 {
			urgent += given[i] / s.usable
		}
	}
	s.setScarce(now, demand > scarceShare*room.capacity && s.backlogged(&room))
	s.spare = 0
	if demand > 0 {
		s.spare = max(room.free-spareShare*room.capacity, 0) * own / demand
	}
}

// backlogged reports whether queued tasks use up the free capacity, or have and not
// enough is free since. A demand that is measured too high sheds nothing without that.
func (s *serviceState) backlogged(room *room) bool {
	if s.scarce {
		return room.net < ampleShare*room.capacity
	}
	return room.net < backlogShare*room.capacity
}

func (s *serviceState) setFallback(now time.Time, fallback bool) {
	if fallback && !s.fallback {
		s.fallbackSince = now
	}
	s.fallback = fallback
}

// fallbackChanged reports whether the fallback has begun, and lasted, or has ended since
// the last change that was reported.
func (s *serviceState) fallbackChanged(now time.Time) bool {
	lasting := s.fallback && now.Sub(s.fallbackSince) >= minFallbackTime
	if lasting == s.fallbackReported || s.fallback && !lasting {
		return false
	}
	s.fallbackReported = lasting
	return true
}

// setScarce sets whether work has to be shed. The buckets are full when that begins.
func (s *serviceState) setScarce(now time.Time, scarce bool) {
	if scarce && !s.scarce {
		for _, class := range s.classes {
			class.bucket.reset(now)
		}
	}
	s.scarce = scarce
	if scarce {
		s.scarceAt = now
	}
}

// scarcityChanged reports whether scarcity has begun, or been over for a while, since the
// last change that was reported.
func (s *serviceState) scarcityChanged(now time.Time) bool {
	lately := s.scarce || now.Sub(s.scarceAt) < minAmpleTime
	if lately == s.scarceReported {
		return false
	}
	s.scarceReported = lately
	return true
}
