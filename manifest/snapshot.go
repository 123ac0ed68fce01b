package manifest

import "slices"

// Snapshot is the operators' configuration at one version of the platform's table.
// Manifest is nil if none was ever set.
type Snapshot struct {
	// Version is the version of the table. Of two snapshots, the one with the
	// higher version is newer.
	Version  int64
	Manifest *Manifest
	// EvacuatedZones lists the availability zones that get no new work, sorted.
	EvacuatedZones []string
}

// Evacuated reports whether the availability zone gets no new work.
func (s *Snapshot) Evacuated(zone string) bool {
	_, found := slices.BinarySearch(s.EvacuatedZones, zone)
	return found
}
