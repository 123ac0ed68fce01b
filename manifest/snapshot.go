package manifest

import "slices"

// Snapshot is what the operators have set as of one version of the platform's
// table. A nil Manifest means that none was ever set.
type Snapshot struct {
	// Version is the version of the table: of two snapshots the one with the
	// higher version is the newer.
	Version  int64
	Manifest *Manifest
	// EvacuatedZones are the availability zones that get no new work, sorted.
	EvacuatedZones []string
}

// Evacuated reports whether the availability zone gets no new work.
func (s *Snapshot) Evacuated(zone string) bool {
	_, found := slices.BinarySearch(s.EvacuatedZones, zone)
	return found
}
