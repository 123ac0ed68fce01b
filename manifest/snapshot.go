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

// Versions are the versions of the parts of a snapshot; 0 means that there is none.
type Versions struct{ Table, Manifest int64 }

// Versions returns the versions of the snapshot's parts.
func (s *Snapshot) Versions() Versions {
	versions := Versions{Table: s.Version}
	if s.Manifest != nil {
		versions.Manifest = s.Manifest.Version
	}
	return versions
}

// replacesManifest reports whether the snapshot's manifest replaces that of the current
// snapshot. A manifest that was written again under its version replaces the one that
// was read from the table before.
func (s *Snapshot) replacesManifest(current Snapshot) bool {
	if s.Manifest == nil || s.Manifest == current.Manifest {
		return false
	}
	offered, known := s.Versions(), current.Versions()
	if offered.Manifest == known.Manifest {
		return offered.Table > known.Table
	}
	return current.Manifest == nil || offered.Manifest > known.Manifest
}

// Evacuated reports whether the availability zone gets no new work.
func (s *Snapshot) Evacuated(zone string) bool {
	_, found := slices.BinarySearch(s.EvacuatedZones, zone)
	return found
}
