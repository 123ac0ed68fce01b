package measure

import (
	"context"
	"os"
	"runtime"
	"slices"
	"strings"
	"time"
)

// All is the name that stands for every measure.
const All = "all"

// kind is one measure by its name.
type kind struct {
	name string
	run  func(*bench, context.Context) ([]Row, error)
}

// kinds returns the measures in the order in which they run.
func kinds() []kind {
	return []kind{
		{"response", (*bench).response},
		{"waste", (*bench).wasted},
		{"zone", (*bench).zone},
		{"overload", (*bench).overload},
		{"burst", (*bench).burst},
		{"faulty", (*bench).faulty},
		{"cpu", (*bench).cpu},
		{"control", (*bench).control},
		{"outage", (*bench).outage},
		{"rate", (*bench).rate},
	}
}

// Names returns the names of all measures.
func Names() []string {
	var names []string
	for _, one := range kinds() {
		names = append(names, one.name)
	}
	return names
}

// Run runs the measures with the given names, or every one for All. A measure
// that can't be carried out is listed among the failures of the report.
func Run(ctx context.Context, names []string, options Options) (*Report, error) {
	wanted, err := choose(names)
	if err != nil {
		return nil, err
	}
	b := &bench{options: options}
	report := &Report{
		Started:    time.Now(),
		Seed:       options.Seed,
		Duration:   options.Duration.String(),
		LoadBefore: loadAverage(),
		Processors: runtime.NumCPU(),
	}
	for _, one := range wanted {
		rows, err := one.run(b, ctx)
		for i := range rows {
			rows[i].Measure = one.name
		}
		report.Rows = append(report.Rows, rows...)
		if err != nil {
			report.Failures = append(report.Failures, one.name+": "+err.Error())
		}
	}
	report.LoadAfter = loadAverage()
	return report, nil
}

func choose(names []string) ([]kind, error) {
	var chosen []kind
	for _, one := range kinds() {
		if slices.Contains(names, one.name) || slices.Contains(names, All) {
			chosen = append(chosen, one)
		}
	}
	for _, name := range names {
		if name != All && !slices.Contains(Names(), name) {
			return nil, Error.New("no measure is called %q; there are %s", name, strings.Join(Names(), ", "))
		}
	}
	return chosen, nil
}

// loadAverage returns the machine's load average over the last minute.
func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	first, _, _ := strings.Cut(string(text), " ")
	return first
}
