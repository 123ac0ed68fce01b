package measure

import (
	"path/filepath"
	"time"

	"github.com/figring/figring/loadgen/plot"
)

// picture draws the completed work of a run over time with marks at faults.
func (b *bench) picture(name string, run *played, marks []plot.Mark) error {
	if b.options.OutDir == "" {
		return nil
	}
	var work []plot.Work
	for i := range run.ledger {
		start := &run.ledger[i]
		if start.EndNs == 0 {
			continue
		}
		work = append(work, plot.Work{
			Start: time.Unix(0, start.StartNs).Sub(run.result.Started),
			End:   time.Unix(0, start.EndNs).Sub(run.result.Started),
		})
	}
	path := filepath.Join(b.options.OutDir, name+".png")
	return plot.Completed(path, "completed work: "+name, work, marks)
}
