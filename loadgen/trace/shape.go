package trace

import "time"

// Names of the predefined shapes.
const (
	ShapeNomination   = "nomination"
	ShapeSubscription = "subscription"
	// ShapeHundred has jobs of exactly 100 short tasks.
	ShapeHundred = "hundred"
)

// Shape describes the workload of one caller: task classes, job sizes and run
// times.
type Shape struct {
	Name    string
	Caller  string
	Classes []Class
	Sizes   []SizeBand
	// MinRun and MaxRun bound the run times of regular tasks, which are
	// log-uniformly distributed.
	MinRun time.Duration
	MaxRun time.Duration
	// LongShare is the fraction of long tasks, whose run times are uniformly
	// distributed from MinLong to MaxLong.
	LongShare float64
	MinLong   time.Duration
	MaxLong   time.Duration
	// UndeclaredShare is the fraction of tasks without a declared run time.
	// MisdeclaredShare is the fraction whose declared run time is the true one
	// times a factor of 0.2 to 5.
	UndeclaredShare  float64
	MisdeclaredShare float64
}

// Shapes returns the predefined shapes by name.
func Shapes() map[string]Shape {
	return map[string]Shape{
		ShapeNomination:   Nomination(),
		ShapeSubscription: Subscription(),
		ShapeHundred:      Hundred(),
	}
}

// Nomination returns the workload of the nomination desk.
func Nomination() Shape {
	shape := defaultTimes()
	shape.Name = ShapeNomination
	shape.Caller = "nomination-desk"
	shape.Classes = []Class{
		{Name: "eligibility", Weight: 5, Idempotent: true},
		{Name: "dossier", Weight: 3, Idempotent: true},
		{Name: "conflict", Weight: 2},
	}
	shape.Sizes = []SizeBand{{5, 1, 1}, {3.5, 2, 10}, {1.3, 11, 40}, {0.2, 41, 120}}
	return shape
}

// Subscription returns the workload of the subscription desk.
func Subscription() Shape {
	shape := defaultTimes()
	shape.Name = ShapeSubscription
	shape.Caller = "subscription-desk"
	shape.Classes = []Class{
		{Name: "renewal", Weight: 6},
		{Name: "gift", Weight: 2},
		{Name: "address", Weight: 2, Idempotent: true},
	}
	shape.Sizes = []SizeBand{{7, 1, 1}, {2, 2, 8}, {1, 20, 60}}
	return shape
}

// Hundred returns jobs of 100 tasks of 50 to 100 ms.
func Hundred() Shape { return Sized(100) }

// Sized returns jobs of a fixed number of tasks of 50 to 100 ms.
func Sized(tasks int) Shape {
	shape := defaultTimes()
	shape.Name = ShapeHundred
	shape.Caller = "nomination-desk"
	shape.Classes = []Class{{Name: "eligibility", Weight: 1, Idempotent: true}}
	shape.Sizes = []SizeBand{{1, tasks, tasks}}
	shape.MaxRun = 100 * time.Millisecond
	shape.LongShare = 0
	return shape
}

func defaultTimes() Shape {
	return Shape{
		MinRun:           50 * time.Millisecond,
		MaxRun:           time.Second,
		LongShare:        0.03,
		MinLong:          2 * time.Second,
		MaxLong:          5 * time.Second,
		UndeclaredShare:  0.2,
		MisdeclaredShare: 0.5,
	}
}
