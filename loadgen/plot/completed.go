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
	// step is the width of one point of the curve.
	step = 250 * time.Millisecond
	// The size of the picture.
	width  = 20 * vg.Centimeter
	height = 10 * vg.Centimeter
)

// markColor is the colour of marks.
var markColor = color.RGBA{R: 200, A: 255}

// Completed draws the run time that was got done in each step of the run, as
// the mean number of slots at work, and writes a PNG file to path.
func Completed(path, title string, work []Work, marks []Mark) error {
	curve := SlotsAtWork(work, step)
	picture := plot.New()
	picture.Title.Text = title
	picture.X.Label.Text = "time (s)"
	picture.Y.Label.Text = "slots at work"
	picture.Y.Min = 0
	points := make(plotter.XYs, len(curve))
	var top float64
	for i, value := range curve {
		points[i] = plotter.XY{X: (time.Duration(i) * step).Seconds(), Y: value}
		top = max(top, value)
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return Error.Wrap(err)
	}
	picture.Add(line)
	if err := addMarks(picture, marks, top); err != nil {
		return err
	}
	return Error.Wrap(picture.Save(width, height, path))
}

// SlotsAtWork returns the mean number of tasks that ran in each step.
func SlotsAtWork(work []Work, step time.Duration) []float64 {
	var last time.Duration
	for _, one := range work {
		last = max(last, one.End)
	}
	curve := make([]float64, last/step+1)
	for _, one := range work {
		for i := max(0, one.Start) / step; i <= max(0, one.End)/step; i++ {
			overlap := min(one.End, (i+1)*step) - max(one.Start, i*step)
			curve[i] += max(0, overlap).Seconds() / step.Seconds()
		}
	}
	return curve
}

func addMarks(picture *plot.Plot, marks []Mark, top float64) error {
	for _, mark := range marks {
		at := mark.At.Seconds()
		line, err := plotter.NewLine(plotter.XYs{{X: at, Y: 0}, {X: at, Y: top}})
		if err != nil {
			return Error.Wrap(err)
		}
		line.Color = markColor
		labels, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: at, Y: top}}, Labels: []string{mark.Text}})
		if err != nil {
			return Error.Wrap(err)
		}
		picture.Add(line, labels)
	}
	return nil
}
