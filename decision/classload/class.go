package classload

// Class identifies all routes of a service with one priority.
type Class struct {
	Service string
	// Priority 0 is the most urgent.
	Priority int
}
