package startgate

import "github.com/figring/figring/model"

// Settings is the configuration of a Gate.
type Settings struct {
	// Self is the incarnation of this sidecar. Dispatches that name another
	// one are rejected.
	Self model.Incarnation
	// QueueCapacity is the maximum number of tasks that wait beyond those for
	// which a slot is free; zero means the number of slots.
	QueueCapacity int
	// RecordLimit is the maximum number of records. Records of running tasks
	// count towards it but are never dropped.
	RecordLimit int
	// ResultBytes is the maximum total size of the bodies of stored results.
	ResultBytes int
}
