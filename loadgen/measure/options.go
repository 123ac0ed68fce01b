package measure

import (
	"io"
	"time"
)

// Options configure the measures.
type Options struct {
	// Binary is the program under measure.
	Binary string
	// OutDir takes tables, JSON and pictures.
	OutDir string
	Seed   uint64
	// Duration is the time over which the jobs of each run arrive.
	Duration time.Duration
	// Progress takes lines on what runs now.
	Progress io.Writer
}
