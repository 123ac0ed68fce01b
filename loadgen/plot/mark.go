package plot

import (
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
)

// Mark is a labelled vertical line, for example at the time of a fault.
type Mark struct {
	At   time.Duration
	Text string
}

func (m *Mark) add(drawn *plot.Plot, top float64) error {
	at := m.At.Seconds()
	line, err := plotter.NewLine(plotter.XYs{{X: at, Y: 0}, {X: at, Y: top}})
	if err != nil {
		return Error.Wrap(err)
	}
	line.Color = markColor
	labels, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: at, Y: top}}, Labels: []string{m.Text}})
	if err != nil {
		return Error.Wrap(err)
	}
	drawn.Add(line, labels)
	return nil
}
