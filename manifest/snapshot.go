package manifest

import "slices"

// Snapshot is the operators' configuration as one process knows it.
type Snapshot struct {
	// Version is the version of the platform's table at which EvacuatedZones was
	// read. It increases with each write to any table, so two snapshots of the same
	// contents may have different versions.
	Version int64
	// Manifest is nil if none is known. Of two manifests, the one with the higher
	// Manifest.Version is newer.
	Manifest *Manifest
	// EvacuatedZones lists the availability zones that get no new work, sorted.
	EvacuatedZones []string
}

// ManifestVersion returns the version of the manifest, or 0 if none is known.
func (s *Snapshot) ManifestVersion() int64 {
	if s.Manifest == nil {
		return 0
	}
	return s.Manifest.Version
}

// Evacuated reports whether the availability zone gets no new work.
func (s *Snapshot) Evacuated(zone string) bool {
	_, found := slices.BinarySearch(s.EvacuatedZones, zone)
	return found
}
