package startgate

import "github.com/figring/figring/model"

// Settings are the fixed bounds of a gate.
type Settings struct {
	// Self is the incarnation that dispatches must name.
	Self model.Incarnation
	// QueueCapacity bounds the queue; zero means the number of slots.
	QueueCapacity int
	// RecordLimit bounds the records of ended tasks.
	RecordLimit int
	// ResultBytes bounds the bodies of kept results.
	ResultBytes int
}
