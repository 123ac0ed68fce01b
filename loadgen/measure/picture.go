package measure

import (
	"path/filepath"
	"time"

	"github.com/figring/figring/loadgen/plot"
	"github.com/figring/figring/minion"
)

// picture draws the completed work of a run over time with marks at faults.
func (b *bench) picture(name string, run *played, marks []plot.Mark) error {
	if b.options.OutDir == "" {
		return nil
	}
	var work []plot.Interval
	for i := range run.ledger {
		if run.ledger[i].EndNs > 0 {
			work = append(work, run.span(&run.ledger[i]))
		}
	}
	picture := plot.Chart{
		Title: "work over time: " + name,
		Unit:  "slots at work",
		Curve: plot.BusySlots(work, plot.Step),
		Marks: marks,
	}
	return picture.Write(filepath.Join(b.options.OutDir, name+".png"))
}

// span returns when a task ran, from the start of the run.
func (p *played) span(start *minion.Start) plot.Interval {
	return plot.Interval{
		Start: time.Unix(0, start.StartNs).Sub(p.result.Started),
		End:   time.Unix(0, start.EndNs).Sub(p.result.Started),
	}
}
