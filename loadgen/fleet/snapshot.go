package fleet

import (
	"context"
	"net/http"
	"time"
)

// reportLag is how long counts may take to reach a metrics page.
const reportLag = 1200 * time.Millisecond

// Snapshot is the state of a fleet's counters at one time.
type Snapshot struct {
	At time.Time
	// Entries and Sidecars hold the sums over all processes of the role.
	Entries  Samples
	Sidecars Samples
	// EntryUsage and SidecarUsage have one element for each process.
	EntryUsage   []Usage
	SidecarUsage []Usage
	// EntryBytes and SidecarBytes are the bytes that each process has read and
	// written on the connections between entries and sidecars.
	EntryBytes   []float64
	SidecarBytes []float64
	// Platform counts the requests to the platform's stand-in.
	Platform PlatformCounts
}

// PlatformCounts counts requests to the tables and objects.
type PlatformCounts struct {
	Reads  float64 `json:"reads"`
	Writes float64 `json:"writes"`
}

// Snapshot reads every counter, after a wait in which they reach the pages.
func (f *Fleet) Snapshot(ctx context.Context) (*Snapshot, error) {
	time.Sleep(reportLag)
	s := &Snapshot{At: time.Now()}
	var err error
	if s.Entries, s.EntryUsage, s.EntryBytes, err = f.collect(ctx, f.Entries); err != nil {
		return nil, err
	}
	if s.Sidecars, s.SidecarUsage, s.SidecarBytes, err = f.collect(ctx, f.Sidecars); err != nil {
		return nil, err
	}
	s.Platform, err = f.platformCounts(ctx)
	return s, err
}

func (f *Fleet) collect(ctx context.Context, group []*Process) (Samples, []Usage, []float64, error) {
	sum := make(Samples)
	var usages []Usage
	var bytes []float64
	for _, process := range group {
		usage, err := process.Usage()
		if err != nil {
			return nil, nil, nil, err
		}
		samples, err := f.scrape(ctx, process)
		if err != nil {
			return nil, nil, nil, err
		}
		sum.Add(samples)
		usages = append(usages, usage)
		bytes = append(bytes, samples.Sum(MetricWireRead)+samples.Sum(MetricWireWritten))
	}
	return sum, usages, bytes, nil
}

func (f *Fleet) scrape(ctx context.Context, process *Process) (Samples, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, process.URL("status")+"/metrics", nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	response, err := f.http.Do(request)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	return ParseSamples(response.Body)
}
