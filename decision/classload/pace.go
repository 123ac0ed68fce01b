package classload

import "time"

// pace is the ratio of measured to declared run time of the ended runs of a class,
// weighted by their work.
type pace struct{ declared, measured rate }

// add records a run with the CPU need, in thousandths of a core, and its run times.
func (p *pace) add(now time.Time, milliCPU int64, declared, measured time.Duration) {
	measured = min(measured, maxRatio*declared)
	p.declared.add(now, float64(milliCPU)*declared.Seconds(), paceTime)
	p.measured.add(now, float64(milliCPU)*measured.Seconds(), paceTime)
}

// ratio returns the ratio, 1 without any ended run.
func (p *pace) ratio(now time.Time) float64 {
	declared := p.declared.value(now, paceTime) * paceTime.Seconds()
	measured := p.measured.value(now, paceTime) * paceTime.Seconds()
	return (measured + minPaceWork) / (declared + minPaceWork)
}
