package plot

import (
	"image/png"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestBusySlots(t *testing.T) {
	work := []Interval{
		{Start: 0, End: 2 * time.Second},
		{Start: 500 * time.Millisecond, End: 1500 * time.Millisecond},
	}
	must.Eq(t, []float64{1.5, 1.5, 0}, BusySlots(work, time.Second))
	must.Eq(t, []float64{0}, BusySlots(nil, time.Second))
}

func TestWriteCreatesPNG(t *testing.T) {
	path := filepath.Join(t.TempDir(), "run.png")
	picture := Chart{Title: "run", Unit: "slots", Curve: []float64{1, 2}, Marks: []Mark{{At: time.Second, Text: "zone out"}}}
	must.NoError(t, picture.Write(path))
	file, err := os.Open(path)
	must.NoError(t, err)
	defer func() { must.NoError(t, file.Close()) }()
	drawn, err := png.Decode(file)
	must.NoError(t, err)
	must.Positive(t, drawn.Bounds().Dx())
}
