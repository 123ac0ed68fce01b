package classload

// Admission is the decision whether a job may be placed.
type Admission struct {
	// Shed is true for a job that may not.
	Shed  bool
	class Class
	// work is the work of the job, taken the part of it that its bucket has given, in
	// thousandths of a core times seconds.
	work, taken float64
}

// Unlimited returns the admission of a job for which no decision is made.
func Unlimited(class Class, work float64) Admission { return Admission{class: class, work: work} }
