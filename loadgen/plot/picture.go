package plot

import (
	"image/color"
	"time"

	"github.com/zeebo/errs"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Error is the class of the errors of this package.
var Error = errs.Class("plot")

const (
	// Step is the width of one point of a curve.
	Step = 500 * time.Millisecond
	// The size of a picture.
	width  = 20 * vg.Centimeter
	height = 10 * vg.Centimeter
	// headroom is the space above the curve for the texts of marks.
	headroom = 1.1
)

// markColor is the colour of marks.
var markColor = color.RGBA{R: 200, A: 255}

// Picture is a curve over the time of a run.
type Picture struct {
	Title string
	// Unit names what the curve counts.
	Unit string
	// Curve has one value for each Step from the start of the run.
	Curve []float64
	Marks []Mark
}

// Write draws the picture into a PNG file at path.
func (p *Picture) Write(path string) error {
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
