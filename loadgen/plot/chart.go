package plot

import (
	"image/color"
	"time"

	"github.com/zeebo/errs"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Error is the error class of this package.
var Error = errs.Class("plot")

const (
	// Step is the interval between two points of a curve.
	Step = 500 * time.Millisecond
	// width and height are the size of a chart.
	width  = 20 * vg.Centimeter
	height = 10 * vg.Centimeter
	// headroom is the height of the labels of marks as a multiple of the
	// highest point of the curve; it keeps the labels above the curve.
	headroom = 1.1
)

var markColor = color.RGBA{R: 200, A: 255}

// Chart is the plot of one curve over the time of a run.
type Chart struct {
	Title string
	// Unit is the label of the Y axis.
	Unit string
	// Curve has one value per Step, starting at the start of the run.
	Curve []float64
	Marks []Mark
}

// Write renders the chart to a PNG file at path.
func (p *Chart) Write(path string) error {
	drawn := plot.New()
	drawn.Title.Text = p.Title
	drawn.X.Label.Text = "time (s)"
	drawn.Y.Label.Text = p.Unit
	points := make(plotter.XYs, len(p.Curve))
	var top float64
	for i, value := range p.Curve {
		points[i] = plotter.XY{X: (time.Duration(i) * Step).Seconds(), Y: value}
		top = max(top, value)
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return Error.Wrap(err)
	}
	drawn.Add(line)
	drawn.Y.Min = 0
	for _, mark := range p.Marks {
		if err := mark.add(drawn, headroom*top); err != nil {
			return err
		}
	}
	return Error.Wrap(drawn.Save(width, height, path))
}
