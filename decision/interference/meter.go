package interference

import (
	"math"
	"time"

	"github.com/figring/figring/session"
)

const (
	// MaxKinds is the number of kinds that are distinguished on a minion.
	MaxKinds = 16
	// MaxKindLength is the length in bytes up to which the names of kinds are compared.
	MaxKindLength = 128
	// halfLife is the time in which evidence loses half its weight.
	halfLife = 20 * time.Second
	// kindRetention is the time after the last run of a kind at which it gives up its slot.
	// A thousandth of the evidence is left by then.
	kindRetention = 10 * halfLife
	// minRatio and maxRatio bound the ratio of a single run.
	minRatio = 0.1
	maxRatio = 4
	// minReportedWeight is the weight below which a comparison is not reported.
	minReportedWeight = 0.2
	// maxReportedPairs bounds a report to the pairs with the most weight.
	maxReportedPairs = 32
	// weightUnit and logUnit are the units of session.PairEvidence.
	weightUnit = 0.01
	logUnit    = 0.001
)

// slot is a kind that the meter distinguishes. Its name is empty if it is not in use.
type slot struct {
	name string
	// since is when the slot got its name.
	since time.Time
	// runs and milliCPU are the runs of the kind and their CPU demand.
	runs     int
	milliCPU int64
	// present is the time during which any run of the kind was in progress, several that
	// during which there were at least two. Both only grow.
	present, several time.Duration
	// work is the decaying CPU time of the kind's runs, in thousandths of a core times
	// seconds, at endedAt.
	work    float64
	endedAt time.Time
}

// Presence is a run in progress, with the times of all kinds at its start.
type Presence struct {
	kind     int
	at       time.Time
	milliCPU int64
	before   [MaxKinds]time.Duration
}

// Meter measures on one minion. It is not safe for concurrent use.
type Meter struct {
	now      time.Time
	slots    [MaxKinds]slot
	evidence [MaxKinds][MaxKinds]evidence
	// changes counts what Report depends on.
	changes uint64
}

// Advance records that time has passed.
func (m *Meter) Advance(now time.Time) {
	passed := now.Sub(m.now)
	if passed <= 0 {
		return
	}
	m.now = now
	for i := range m.slots {
		if m.slots[i].runs >= 1 {
			m.slots[i].present += passed
		}
		if m.slots[i].runs >= 2 {
			m.slots[i].several += passed
		}
	}
}

// Start records the start of a run. It returns nil if the kind is not known, or if there
// are too many kinds.
func (m *Meter) Start(now time.Time, kind string, milliCPU int64) *Presence {
	m.Advance(now)
	index := m.slotFor(kind)
	if index < 0 {
		return nil
	}
	m.slots[index].runs++
	m.slots[index].milliCPU += milliCPU
	started := &Presence{kind: index, at: m.now, milliCPU: milliCPU}
	for i := range m.slots {
		started.before[i] = m.slots[i].time(i == index)
	}
	return started
}

// time returns the time during which the kind was present, for a run of another kind or of
// the same one.
func (s *slot) time(same bool) time.Duration {
	if same {
		return s.several
	}
	return s.present
}

// slotFor returns the index of the kind. If all are in use, the kind replaces the one with
// the least work of those that have no runs.
func (m *Meter) slotFor(kind string) int {
	if kind == "" {
		return -1
	}
	kind = kind[max(len(kind)-MaxKindLength, 0):]
	replaced := -1
	for i := range m.slots {
		known := &m.slots[i]
		if known.name == kind {
			return i
		}
		if known.runs == 0 && (replaced < 0 || known.workAt(m.now) < m.slots[replaced].workAt(m.now)) {
			replaced = i
		}
	}
	if replaced >= 0 {
		m.rename(replaced, kind)
		return replaced
	}
	return -1
}

func (s *slot) workAt(now time.Time) float64 { return s.work * kept(now.Sub(s.endedAt)) }

// rename gives a slot to a kind and drops the evidence on its former one.
func (m *Meter) rename(index int, kind string) {
	former := m.slots[index]
	m.slots[index] = slot{name: kind, since: m.now, present: former.present, several: former.several}
	for i := range m.slots {
		m.evidence[index][i] = evidence{}
		m.evidence[i][index] = evidence{}
	}
	m.changes++
}

// End records that a run is no longer in progress.
func (m *Meter) End(ended *Presence) {
	kind := &m.slots[ended.kind]
	kind.runs--
	kind.milliCPU -= ended.milliCPU
	kind.work = kind.workAt(m.now) + float64(ended.milliCPU)*m.now.Sub(ended.at).Seconds()
	kind.endedAt = m.now
}

// Record records the run time of a run that is done, before End. Pace is the ratio of
// measured to declared run time on the minion at present.
func (m *Meter) Record(now time.Time, done *Presence, declared time.Duration, pace float64) {
	m.Advance(now)
	took := m.now.Sub(done.at)
	if took <= 0 || declared <= 0 || pace <= 0 {
		return
	}
	ratio := math.Log(min(max(float64(took)/(float64(declared)*pace), minRatio), maxRatio))
	for i := range m.slots {
		other := &m.slots[i]
		if other.name == "" || other.since.After(done.at) {
			continue
		}
		share := float64(other.time(i == done.kind)-done.before[i]) / float64(took)
		m.evidence[done.kind][i].add(m.now, min(max(share, 0), 1), ratio)
	}
	m.changes++
}

// Running returns the CPU demand of the runs in progress by kind.
func (m *Meter) Running() []session.KindLoad {
	var running []session.KindLoad
	for i := range m.slots {
		if m.slots[i].runs > 0 {
			running = append(running, session.KindLoad{Kind: i, MilliCPU: m.slots[i].milliCPU})
		}
	}
	return running
}

// Changes returns a number that grows when Report changes. It first gives up the slots of
// the kinds without recent runs, which Report then no longer names.
func (m *Meter) Changes(now time.Time) uint64 {
	m.Advance(now)
	for i := range m.slots {
		if m.slots[i].unused(m.now) {
			m.rename(i, "")
		}
	}
	return m.changes
}

// unused reports whether the slot has a name but no run, and has had none for kindRetention.
func (s *slot) unused(now time.Time) bool {
	return s.name != "" && s.runs == 0 && now.Sub(s.endedAt) > kindRetention
}
