package classload

// Fleet is what an entry knows of the fleet.
type Fleet struct {
	// Sidecars are those that the entry has sessions with.
	Sidecars []Sidecar
	// Entries is the number of known entries, this one included.
	Entries int
	// KnownSidecars is the number of known sidecars.
	KnownSidecars int
}

// Sidecar is a sidecar that accepts tasks.
type Sidecar struct {
	Name    string
	Service string
	// Capacity and Free are the minion's whole capacity and the part that neither
	// running nor queued tasks need, in thousandths of a core.
	Capacity, Free int64
}

// reach returns the share of the known sidecars that the entry has sessions with.
func (f *Fleet) reach() float64 {
	if f.KnownSidecars <= len(f.Sidecars) {
		return 1
	}
	return float64(len(f.Sidecars)) / float64(f.KnownSidecars)
}
