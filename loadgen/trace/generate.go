package trace

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// generatorStream is the PCG stream of the generator. It keeps the
	// generator's random numbers independent of others drawn from the same
	// seed.
	generatorStream = 0x66696772696e67
	// maxDeclaredFactor is the largest factor by which a declared run time
	// deviates from the true one, in either direction.
	maxDeclaredFactor = 5
	// minResubmit and maxResubmit bound the delay of a resubmission. Some
	// resubmissions arrive while the job runs and some after its end.
	minResubmit = 20 * time.Millisecond
	maxResubmit = 1500 * time.Millisecond
	// cancelWindow is the maximum time since arrival of the jobs that a
	// cancellation wave cancels.
	cancelWindow = 500 * time.Millisecond
	// runTimeUnit is the unit to which run times are rounded, so that they pass
	// through JSON unchanged.
	runTimeUnit = time.Millisecond
)

// generator is the state of one Generate call.
type generator struct {
	config Config
	random *rand.Rand
}

// Generate returns the trace for a configuration. It draws jobs until their
// total run time reaches the configured load, which it exceeds by less than one
// job. Arrivals form a Poisson process: given the number of arrivals, their
// times are independent and uniformly distributed, so each one is drawn on its
// own. Bursts raise the arrival rate for a part of the run.
func Generate(config Config) Trace {
	g := &generator{config: config, random: rand.New(rand.NewPCG(config.Seed, generatorStream))}
	var generated Trace
	for done := 0.0; !g.complete(len(generated.Jobs), done); {
		job := g.job()
		done += job.Work().Seconds()
		generated.Jobs = append(generated.Jobs, job)
	}
	g.assignArrivals(generated.Jobs)
	generated.sort()
	g.cancel(generated.Jobs)
	return generated
}

// complete reports whether the trace is complete with the given number of jobs
// and seconds of run time.
func (g *generator) complete(jobs int, work float64) bool {
	if g.config.Jobs > 0 {
		return jobs >= g.config.Jobs
	}
	return work >= g.config.Load*g.config.Capacity*g.config.Duration.Seconds()
}

func (g *generator) job() Job {
	class := g.class()
	band := g.band()
	job := Job{Caller: g.config.Shape.Caller, Idempotent: class.Idempotent}
	for range band.Min + g.random.IntN(band.Max-band.Min+1) {
		job.Tasks = append(job.Tasks, g.task(class.Name))
	}
	if g.random.Float64() < g.config.ResubmitShare {
		job.ResubmitAfter = g.between(minResubmit, maxResubmit)
	}
	return job
}

func (g *generator) class() Class {
	classes := g.config.Shape.Classes
	weights := make([]float64, len(classes))
	for i, class := range classes {
		weights[i] = class.Weight
	}
	return classes[g.weighted(weights)]
}

func (g *generator) band() SizeBand {
	sizes := g.config.Shape.Sizes
	weights := make([]float64, len(sizes))
	for i, band := range sizes {
		weights[i] = band.Weight
	}
	return sizes[g.weighted(weights)]
}

// weighted draws an index with a probability proportional to its weight.
func (g *generator) weighted(weights []float64) int {
	var sum float64
	for _, weight := range weights {
		sum += weight
	}
	left := g.random.Float64() * sum
	for i, weight := range weights {
		left -= weight
		if left < 0 {
			return i
		}
	}
	return len(weights) - 1
}

func (g *generator) task(class string) Task {
	shape := &g.config.Shape
	run := g.logBetween(shape.MinRun, shape.MaxRun)
	if g.random.Float64() < shape.LongShare {
		run = g.between(shape.MinLong, shape.MaxLong)
	}
	run = run.Round(runTimeUnit)
	return Task{Class: class, Run: run, Declared: g.declared(run)}
}

func (g *generator) declared(run time.Duration) time.Duration {
	draw := g.random.Float64()
	factor := math.Exp((2*g.random.Float64() - 1) * math.Log(maxDeclaredFactor))
	switch {
	case draw < g.config.Shape.UndeclaredShare:
		return 0
	case draw < g.config.Shape.UndeclaredShare+g.config.Shape.MisdeclaredShare:
		return max(runTimeUnit, time.Duration(float64(run)*factor).Round(runTimeUnit))
	default:
		return run
	}
}

func (g *generator) between(low, high time.Duration) time.Duration {
	return low + time.Duration(g.random.Float64()*float64(high-low))
}

func (g *generator) logBetween(low, high time.Duration) time.Duration {
	return time.Duration(float64(low) * math.Exp(g.random.Float64()*math.Log(float64(high)/float64(low))))
}

// assignArrivals draws the arrival time of each job.
func (g *generator) assignArrivals(jobs []Job) {
	rate := g.intensity()
	for i := range jobs {
		jobs[i].At = time.Duration(rate.invert(g.random.Float64()) * float64(g.config.Duration))
	}
}

// cancel sets CancelAfter on the jobs that the cancellation waves cancel. The
// waves are evenly spaced over the run.
func (g *generator) cancel(jobs []Job) {
	for wave := range g.config.CancelWaves {
		at := g.config.Duration * time.Duration(wave+1) / time.Duration(g.config.CancelWaves+1)
		for i := range jobs {
			recent := jobs[i].At < at && jobs[i].At >= at-cancelWindow
			if recent && g.random.Float64() < g.config.CancelShare {
				jobs[i].CancelAfter = at - jobs[i].At
			}
		}
	}
}
